#pragma once

#include "balsampoint/orders/command/apply.hpp"
#include "balsampoint/orders/module.hpp"
#include "fake/random.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace balsampoint::fake {

/** @brief Result of one run of `IsolatedHolder`. */
struct IsolationResult
{
  /** Orders sent by each host. */
  std::array<std::uint64_t, 2> sent{};
  /** Orders of an old holder that took effect after a newer holder sent one. */
  std::uint64_t lateEffects{};
};

/**
 * @brief Simulates two hosts, a control group and an engine that ignores
 * fencing numbers.
 *
 * The hosts' clocks run at wrong rates, one host is partitioned and may
 * restart, and orders take effect late. The control group applies all
 * proposals that reach it to both hosts, with random delays.
 */
class IsolatedHolder
{
public:
  /**
   * @brief Prepares a run.
   * @param aSeed Seed of clock rates, faults and delays.
   * @param aSettings Settings of both hosts.
   */
  IsolatedHolder(std::uint64_t aSeed, const orders::Settings& aSettings)
    : mRandom{ aSeed }
    , mLimit{ aSettings.orderLimit }
  {
    const auto error = aSettings.clockErrorPpm;
    for (std::size_t host = 0; host < mHosts.size(); ++host) {
      auto settings = aSettings;
      settings.self = HostId{ host == 0 ? "left" : "right" };
      settings.incarnation = Incarnation{ 1 };
      mHosts[host].state.settings = settings;
      mHosts[host].ratePpm = Between(-error, error);
    }
  }

  /**
   * @brief Lets orders take longer at the engine than the hosts' `orderLimit`.
   * @param aLimit Longest time from sending an order to its effect.
   */
  void SetEngineLimit(Duration aLimit) { mLimit = aLimit; }

  /**
   * @brief Runs the simulation.
   * @param aLength Simulated time.
   * @return Orders sent and late effects.
   */
  IsolationResult Run(Duration aLength)
  {
    const auto cut = Duration{ Between(0, aLength.count() / 2) };
    const auto heal = cut + Duration{ Between(0, aLength.count() / 2) };
    At(cut, [this] { mPartitioned = true; });
    At(heal, [this] { Heal(); });
    if (mRandom.Next() % 4 == 0) {
      At(Duration{ Between(0, aLength.count()) }, [this] { Restart(0); });
    }
    for (std::size_t host = 0; host < mHosts.size(); ++host) {
      At(Duration{ Between(0, kStart.count()) },
         [this, host] { Handle(host, orders::Candidacy{ true }); });
      At(kStart, [this, host] { Submit(host); });
    }
    while (!mQueue.empty() && mQueue.begin()->first <= aLength) {
      auto step = std::move(*mQueue.begin());
      mQueue.erase(mQueue.begin());
      mNow = step.first;
      step.second();
    }
    return mResult;
  }

private:
  static constexpr Duration kStart = std::chrono::milliseconds{ 100 };
  static constexpr Duration kSubmit = std::chrono::milliseconds{ 300 };
  static constexpr Duration kLatency = std::chrono::milliseconds{ 50 };

  struct Host
  {
    orders::State state;
    std::int64_t ratePpm{};
    std::vector<orders::Command> missed;
    std::uint64_t ticks{};
  };

  std::int64_t Between(std::int64_t aLow, std::int64_t aHigh)
  {
    const auto spread = static_cast<std::uint64_t>(aHigh - aLow) + 1;
    return aLow + static_cast<std::int64_t>(mRandom.Next() % spread);
  }

  void At(Duration aTime, std::function<void()> aStep)
  {
    mQueue.emplace(std::max(aTime, mNow), std::move(aStep));
  }

  [[nodiscard]] Instant LocalNow(const Host& aHost) const
  {
    return Instant{ mNow + mNow / 1'000'000 * aHost.ratePpm };
  }

  void Handle(std::size_t aHost, const orders::Event& aEvent)
  {
    auto& host = mHosts[aHost];
    std::vector<orders::Action> actions;
    orders::Module::Handle(host.state, aEvent, LocalNow(host), actions);
    RunActions(aHost, actions);
  }

  void Wake(std::size_t aHost)
  {
    auto& host = mHosts[aHost];
    const auto due = orders::Module::NextDeadline(host.state);
    if (due == kNever) {
      return;
    }
    const auto wait = std::max(due - LocalNow(host), Duration{ 1'000'000 });
    At(mNow + wait, [this, aHost, tick = ++host.ticks] {
      auto& woken = mHosts[aHost];
      if (woken.ticks != tick) {
        return;
      }
      std::vector<orders::Action> actions;
      orders::Module::Tick(woken.state, LocalNow(woken), actions);
      RunActions(aHost, actions);
    });
  }

  void RunActions(std::size_t aHost, std::span<const orders::Action> aActions)
  {
    for (const auto& action : aActions) {
      if (const auto* propose = std::get_if<orders::Propose>(&action)) {
        AppendToLog(aHost, propose->command);
      } else if (const auto* send = std::get_if<orders::SendOrder>(&action)) {
        Send(aHost, send->order);
      }
    }
    Wake(aHost);
  }

  void AppendToLog(std::size_t aHost, const orders::Command& aCommand)
  {
    if (aHost == 0 && mPartitioned) {
      return;
    }
    At(mNow + Duration{ Between(0, kLatency.count()) }, [this, aCommand] {
      for (std::size_t host = 0; host < mHosts.size(); ++host) {
        mHosts[host].missed.push_back(aCommand);
        At(mNow + Duration{ Between(0, kLatency.count()) },
           [this, host] { CatchUp(host); });
      }
    });
  }

  void CatchUp(std::size_t aHost)
  {
    auto& missed = mHosts[aHost].missed;
    if (missed.empty() || (aHost == 0 && mPartitioned)) {
      return;
    }
    const auto command = missed.front();
    missed.erase(missed.begin());
    Handle(aHost, orders::Applied{ command });
  }

  /** Ends the partition of the first host. In half of the runs the host
   * receives only one missed command and is then partitioned again. */
  void Heal()
  {
    mPartitioned = false;
    const auto count = mHosts[0].missed.size();
    const bool again = mRandom.Next() % 2 == 0;
    for (std::size_t at = 0;
         at < (again ? std::min<std::size_t>(count, 1) : count);
         ++at) {
      CatchUp(0);
    }
    mPartitioned = again;
  }

  void Restart(std::size_t aHost)
  {
    auto& host = mHosts[aHost];
    auto settings = host.state.settings;
    settings.incarnation = settings.incarnation.Next();
    const auto table = host.state.table;
    host.state = { .settings = settings, .table = table };
    Handle(aHost, orders::Candidacy{ true });
  }

  void Submit(std::size_t aHost)
  {
    Handle(aHost,
           orders::Submitted{ .server = ServerId{ "engine" },
                              .task = orders::ChangeRole{} });
    At(mNow + kSubmit, [this, aHost] { Submit(aHost); });
  }

  void Send(std::size_t aHost, const orders::Order& aOrder)
  {
    ++mResult.sent[aHost];
    mNewest = std::max(mNewest, aOrder.fencing);
    const auto effect = mNow + Duration{ Between(0, mLimit.count()) };
    At(effect, [this, aHost, aOrder] {
      mResult.lateEffects += aOrder.fencing < mNewest ? 1 : 0;
      Handle(
        aHost,
        orders::Answered{ .id = aOrder.id, .outcome = orders::Outcome::Done });
    });
  }

  Random mRandom;
  Duration mLimit;
  std::array<Host, 2> mHosts;
  std::multimap<Duration, std::function<void()>> mQueue;
  Duration mNow{};
  bool mPartitioned{ false };
  FencingNumber mNewest;
  IsolationResult mResult;
};

/** @brief Settings with short times, so that a run simulates few seconds. */
inline orders::Settings
ShortOrderTimes()
{
  return { .lease = std::chrono::seconds{ 2 },
           .renewInterval = std::chrono::milliseconds{ 600 },
           .orderLimit = std::chrono::seconds{ 3 },
           .clockErrorPpm = 20'000,
           .proposeInterval = std::chrono::milliseconds{ 400 } };
}

} // namespace balsampoint::fake
