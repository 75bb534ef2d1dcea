#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/time.hpp"
#include "fake/random.hpp"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace balsampoint::fake {

/** @brief How the network treats messages. */
struct NetworkFaults
{
  Duration minDelay{ std::chrono::microseconds{ 200 } };
  Duration maxDelay{ std::chrono::milliseconds{ 2 } };
  /** Messages lost of each 1,000. */
  std::uint32_t lostPerMille{};
  /** Messages repeated of each 1,000. */
  std::uint32_t repeatedPerMille{};
};

/**
 * @brief A queue of messages on virtual time with delay, loss, repeat, reorder
 * and one-way cuts.
 * @tparam Message Type of the messages.
 */
template<typename Message>
class Network
{
public:
  /** @brief A message on its way. */
  struct Delivery
  {
    HostId from;
    HostId to;
    Message message;
  };

  /**
   * @brief Makes an empty network.
   * @param aSeed Chooses the faults.
   */
  explicit Network(std::uint64_t aSeed)
    : mRandom{ aSeed }
  {
  }

  /** @brief The faults, to be changed at any time. */
  NetworkFaults& Faults() { return mFaults; }

  /**
   * @brief Cuts or heals one direction.
   * @param aFrom Sender.
   * @param aTo Receiver.
   * @param aCut Whether messages are lost from now on.
   */
  void Cut(const HostId& aFrom, const HostId& aTo, bool aCut)
  {
    if (aCut) {
      mCuts.emplace(aFrom, aTo);
    } else {
      mCuts.erase({ aFrom, aTo });
    }
  }

  /**
   * @brief Puts a message on its way.
   * @param aNow Time of sending.
   * @param aDelivery The message with its ends.
   */
  void Send(Instant aNow, Delivery aDelivery)
  {
    ++mSent;
    if (mCuts.contains({ aDelivery.from, aDelivery.to }) ||
        Chance(mFaults.lostPerMille)) {
      return;
    }
    if (Chance(mFaults.repeatedPerMille)) {
      mQueue.emplace(aNow + Delay(), aDelivery);
    }
    mQueue.emplace(aNow + Delay(), std::move(aDelivery));
  }

  /** @brief When the next message arrives; `kNever` if none is on its way. */
  [[nodiscard]] Instant NextArrival() const
  {
    return mQueue.empty() ? kNever : mQueue.begin()->first;
  }

  /**
   * @brief Takes the next message that has arrived.
   * @param aNow The time.
   * @return The message, or nothing; a message of a cut direction is lost.
   */
  std::optional<Delivery> Receive(Instant aNow)
  {
    while (!mQueue.empty() && mQueue.begin()->first <= aNow) {
      auto delivery = std::move(mQueue.begin()->second);
      mQueue.erase(mQueue.begin());
      if (!mCuts.contains({ delivery.from, delivery.to })) {
        return delivery;
      }
    }
    return std::nullopt;
  }

  /** @brief Number of messages sent so far. */
  [[nodiscard]] std::uint64_t Sent() const { return mSent; }

private:
  bool Chance(std::uint32_t aPerMille)
  {
    return mRandom.Next() % 1000 < aPerMille;
  }

  Duration Delay()
  {
    const auto spread = mFaults.maxDelay - mFaults.minDelay;
    const auto steps = static_cast<std::uint64_t>(spread.count()) + 1;
    return mFaults.minDelay +
           Duration{ static_cast<Duration::rep>(mRandom.Next() % steps) };
  }

  Random mRandom;
  NetworkFaults mFaults;
  std::multimap<Instant, Delivery> mQueue;
  std::set<std::pair<HostId, HostId>> mCuts;
  std::uint64_t mSent{};
};

} // namespace balsampoint::fake
