#pragma once

#include "balsampoint/edge/acceptor.hpp"
#include "balsampoint/edge/exchange.hpp"
#include "balsampoint/trace/event.hpp"

#include <map>
#include <memory>
#include <utility>

namespace balsampoint::edge {

/**
 * @brief Accepts callers' requests on one address and runs an exchange for
 * each.
 * @tparam D Encoding of requests and responses.
 */
template<Dialect D>
class BasicEntry
{
public:
  using Acceptor = BasicAcceptor<BasicEntry>;
  using Caller = typename Acceptor::Connection;
  using Exchange = BasicExchange<D, Caller>;

  /**
   * @brief Makes an entry that does not listen yet.
   * @param aTraffic State of the traffic thread; outlives the entry.
   * @param aMaxConnections Maximum number of callers' connections.
   * @param aLimits Limits of each connection.
   */
  BasicEntry(TrafficState& aTraffic,
             std::size_t aMaxConnections,
             CallerConnectionLimits aLimits = {})
    : mTraffic{ aTraffic }
    , mLimits{ aLimits }
    , mAcceptor{ *this, aTraffic.loop.Context(), aMaxConnections }
  {
  }

  /**
   * @brief Binds the address and starts to accept connections.
   * @param aAddress IP address and port.
   */
  tl::expected<void, Error> Listen(const std::string& aAddress)
  {
    return mAcceptor.Listen(aAddress);
  }

  /** @brief Acceptor of the callers' connections. */
  [[nodiscard]] Acceptor& Connections() noexcept { return mAcceptor; }

  /**
   * @brief Applies the limits of a configuration to later requests.
   * @param aLimits Limits on message sizes and times.
   */
  void SetLimits(const routing::CallerLimits& aLimits)
  {
    mLimits.message = { .headBytes = aLimits.headerBytes,
                        .bodyBytes = aLimits.bodyBytes };
    mLimits.requestTimeout = aLimits.headerTimeout;
    mLimits.idleTimeout = aLimits.idleTimeout;
  }

  void OnRequest(const std::shared_ptr<Caller>& aCaller,
                 IncomingRequest aRequest)
  {
    auto exchange =
      std::make_shared<Exchange>(mTraffic, aCaller, std::move(aRequest));
    mExchanges[aCaller.get()] = exchange;
    // The exchange calls this from its own member function: it is destroyed
    // later, from the loop.
    exchange->Start([this, caller = aCaller.get(), id = exchange.get()] {
      mTraffic.loop.Post([this, caller, id] { RemoveExchange(caller, id); });
    });
  }

  void OnCallerDisconnected(const std::shared_ptr<Caller>& aCaller)
  {
    const auto found = mExchanges.find(aCaller.get());
    if (found == mExchanges.end()) {
      return;
    }
    const auto exchange = std::move(found->second);
    mExchanges.erase(found);
    exchange->OnCallerDisconnected();
  }

  void OnInvalidRequest(const std::shared_ptr<Caller>& aCaller,
                        const Error& aError)
  {
    trace::Event{ "request_unreadable" }.With("error",
                                              AnswerFor(aError.kind).name);
    aCaller->Send(D::WriteRefusal(aError, false));
    aCaller->Finish(false);
  }

  [[nodiscard]] const CallerConnectionLimits& Limits() const noexcept
  {
    return mLimits;
  }

private:
  void RemoveExchange(const Caller* aCaller, const Exchange* aExchange)
  {
    const auto found = mExchanges.find(aCaller);
    if (found != mExchanges.end() && found->second.get() == aExchange) {
      mExchanges.erase(found);
    }
  }

  TrafficState& mTraffic;
  CallerConnectionLimits mLimits;
  std::map<const Caller*, std::shared_ptr<Exchange>> mExchanges;
  Acceptor mAcceptor;
};

} // namespace balsampoint::edge
