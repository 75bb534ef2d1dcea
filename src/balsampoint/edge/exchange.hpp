#pragma once

#include "balsampoint/edge/exchange_io.hpp"
#include "balsampoint/edge/exchange_observers.hpp"
#include "balsampoint/edge/exchange_surroundings.hpp"

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <utility>
#include <variant>
#include <vector>

namespace balsampoint::edge {

/**
 * @brief One request from its arrival to the end of its response: feeds what
 * happens to the state machine of `exchange` and runs its actions.
 * @tparam D Encoding of requests and responses.
 * @tparam Caller Type of the caller's connection.
 */
template<Dialect D, typename Caller>
class BasicExchange
  : public std::enable_shared_from_this<BasicExchange<D, Caller>>
{
public:
  /**
   * @brief Makes an exchange for a request.
   * @param aTraffic State of the traffic thread; outlives the exchange.
   * @param aCaller The caller's connection.
   * @param aRequest The request.
   */
  BasicExchange(TrafficState& aTraffic,
                std::shared_ptr<Caller> aCaller,
                IncomingRequest aRequest)
    : mTraffic{ aTraffic }
    , mObservers{ aTraffic }
    , mTimers{ net::Timer{ aTraffic.loop.Context() },
               net::Timer{ aTraffic.loop.Context() },
               net::Timer{ aTraffic.loop.Context() },
               net::Timer{ aTraffic.loop.Context() } }
    , mIo{ aTraffic, std::move(aCaller), std::move(aRequest), mState }
    , mSurroundings{ aTraffic,
                     mIo.Request().admission,
                     mIo.Request().parameters,
                     mIo.Request().crashWatch }
  {
  }

  BasicExchange(const BasicExchange&) = delete;
  BasicExchange& operator=(const BasicExchange&) = delete;
  BasicExchange(BasicExchange&&) = delete;
  BasicExchange& operator=(BasicExchange&&) = delete;
  ~BasicExchange() = default;

  /**
   * @brief Admits the request and starts the first attempt.
   * @param aDone Called once when the exchange has ended.
   */
  void Start(std::function<void()> aDone)
  {
    mDone = std::move(aDone);
    mObservers.Observe(
      [self = this->weak_from_this()](const ServerId& aServer) {
        Notify(self, [&] { return exchange::ServerLost{ aServer }; });
      },
      [self = this->weak_from_this()] {
        Notify(self, [] { return exchange::QuarantineChanged{}; });
      },
      [self = this->weak_from_this()] {
        if (const auto exchange = self.lock()) {
          exchange->Feed(
            LinkChangeOf(exchange->mIo.Servers(), exchange->mTraffic));
        }
      });
    Feed(mIo.Admit());
  }

  /** @brief Cancels the request because the caller has disconnected. */
  void OnCallerDisconnected() { Feed(exchange::CallerGone{}); }

private:
  using Self = std::weak_ptr<BasicExchange>;

  /** Feeds an event unless the exchange is gone. */
  template<typename Make>
  static void Notify(const Self& aSelf, Make aMake)
  {
    if (const auto exchange = aSelf.lock()) {
      exchange->Feed(aMake());
    }
  }

  /** Handles an event. One that an action causes at once is handled after the
   * other actions. */
  void Feed(const exchange::Event& aEvent)
  {
    mEvents.push_back(aEvent);
    if (std::exchange(mHandling, true)) {
      return;
    }
    // An exception ends one handler; later events, such as the deadline, must
    // still be handled.
    const std::unique_ptr<bool, decltype([](bool* aFlag) { *aFlag = false; })>
      handling{ &mHandling };
    while (!mEvents.empty()) {
      const auto event = std::move(mEvents.front());
      mEvents.pop_front();
      mActions.clear();
      HandleEvent(mState, event, mSurroundings, mActions);
      for (const auto& action : mActions) {
        std::visit([this](const auto& aAction) { this->Run(aAction); }, action);
      }
    }
  }

  /** Runs an action that causes no event. */
  template<typename A>
  void Run(const A& aAction)
  {
    mIo.Run(aAction);
  }

  void Run(const exchange::SetTimer& aSet)
  {
    mTimers.at(static_cast<std::size_t>(aSet.timer))
      .Set(aSet.after, [self = this->weak_from_this(), timer = aSet.timer] {
        if (const auto exchange = self.lock()) {
          exchange->OnTimer(timer);
        }
      });
  }

  void Run(const exchange::ClearTimers& /*aClear*/)
  {
    for (auto& timer : mTimers) {
      timer.Clear();
    }
  }

  void Run(const exchange::ChooseServers& /*aChoose*/) { Feed(mIo.Choose()); }

  void Run(const exchange::EnterQueue& aEnter)
  {
    const bool waits = mIo.Room().Wait(
      { .tryAgain =
          [self = this->weak_from_this()] {
            Notify(self, [] { return exchange::QueueTurn{}; });
          },
        .giveUp =
          [self = this->weak_from_this(), error = aEnter.error] {
            Notify(self, [&] { return exchange::QueueRefused{ error }; });
          } });
    if (!waits) {
      Feed(exchange::QueueRefused{ aEnter.error });
    }
  }

  void Run(const exchange::Connect& /*aConnect*/)
  {
    mIo.Servers().Connect(Observer());
  }

  void Run(const exchange::ProbeServer& /*aProbe*/)
  {
    mIo.Servers().Probe(
      [self = this->weak_from_this()](ProbeResult aResult, bool aByDetour) {
        if (const auto exchange = self.lock()) {
          exchange->OnProbed(aResult, aByDetour);
        }
      });
  }

  void Run(const exchange::CheckLink& /*aCheck*/)
  {
    mTraffic.links.Check([self = this->weak_from_this()](bool aReached) {
      if (const auto exchange = self.lock()) {
        exchange->OnLinkChecked(aReached);
      }
    });
  }

  void Run(const exchange::ReadEvents& /*aRead*/) { Feed(mIo.ReadEvents()); }
  void Run(const exchange::ReadBody& /*aRead*/) { Feed(mIo.ReadBody()); }

  void Run(const exchange::Finish& aFinish)
  {
    mIo.Run(aFinish);
    if (const auto done = std::exchange(mDone, nullptr)) {
      done();
    }
  }

  [[nodiscard]] ServerObserver Observer()
  {
    return [self = this->weak_from_this()](ServerSignal aSignal) {
      if (const auto exchange = self.lock()) {
        exchange->OnSignal(aSignal);
      }
    };
  }

  void OnSignal(ServerSignal aSignal)
  {
    switch (aSignal) {
      case ServerSignal::Connected:
        Feed(exchange::Connected{});
        return;
      case ServerSignal::ResponseData:
        if (auto read = mIo.ReadAnswer()) {
          Feed(std::move(*read));
        }
        return;
      case ServerSignal::Lost:
        Feed(LossOf(mIo.Servers(), mTraffic));
        return;
    }
  }

  void OnProbed(ProbeResult aResult, bool aByDetour)
  {
    const auto& servers = mIo.Servers();
    Feed(exchange::BreakProbed{ .refuses = aResult == ProbeResult::Refuses,
                                .probeByDetour = aByDetour,
                                .restarted = !servers.Hops().empty() &&
                                             servers.HasRestarted() });
  }

  void OnLinkChecked(bool aReached)
  {
    const auto& hops = mIo.Servers().Hops();
    Feed(exchange::LinkChecked{
      .reached = aReached,
      .serverConnected = !hops.empty() && mTraffic.connections.IsConnected(
                                            hops.front().address) });
  }

  void OnTimer(exchange::TimerName aTimer)
  {
    switch (aTimer) {
      case exchange::TimerName::Deadline:
        Feed(exchange::DeadlinePassed{});
        return;
      case exchange::TimerName::Retry:
        Feed(exchange::RetryTime{});
        return;
      case exchange::TimerName::Resume:
        Feed(exchange::ResumeTime{});
        return;
      case exchange::TimerName::LinkSilence:
        Feed(LinkSilenceOf(mIo.Servers()));
        return;
    }
  }

  TrafficState& mTraffic;
  ExchangeObservers mObservers;
  std::array<net::Timer, 4> mTimers;
  exchange::State mState;
  ExchangeIo<D, Caller> mIo;
  ExchangeSurroundings mSurroundings;
  std::deque<exchange::Event> mEvents;
  std::vector<exchange::Action> mActions;
  /** Whether an event is being handled. */
  bool mHandling{ false };
  std::function<void()> mDone;
};

} // namespace balsampoint::edge
