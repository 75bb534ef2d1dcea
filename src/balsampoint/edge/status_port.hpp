#pragma once

#include "balsampoint/edge/acceptor.hpp"
#include "balsampoint/edge/response.hpp"

#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace balsampoint::edge {

/** @brief Answers every request on one address with the current status. */
class StatusPort
{
public:
  using Acceptor = BasicAcceptor<StatusPort>;
  using Caller = typename Acceptor::Connection;

  /** @brief HTTP status and body of a response. */
  struct Status
  {
    std::uint16_t code{};
    std::string body;
  };

  /**
   * @brief Makes a port that does not listen yet.
   * @param aLoop Loop of the traffic thread; outlives the port.
   * @param aStatus Called on the traffic thread for each request.
   * @param aMemory Account of the bytes that connections hold; null for none.
   */
  StatusPort(net::Loop& aLoop,
             std::function<Status()> aStatus,
             MemoryAccount* aMemory = nullptr)
    : mStatus{ std::move(aStatus) }
    , mLimits{ .message = kMessageLimits, .memory = aMemory }
    , mAcceptor{ *this, aLoop.Context(), kMaxConnections }
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

  void OnRequest(const std::shared_ptr<Caller>& aCaller,
                 const IncomingRequest& aRequest)
  {
    const auto status = mStatus();
    aCaller->Send(
      MakeResponse(status.code, {}, status.body, aRequest.head.keepAlive));
    aCaller->Finish(aRequest.head.keepAlive);
  }

  void OnCallerDisconnected(const std::shared_ptr<Caller>& /*aCaller*/) {}

  void OnInvalidRequest(const std::shared_ptr<Caller>& aCaller,
                        const Error& aError)
  {
    aCaller->Send(MakeResponse(AnswerFor(aError.kind).status, {}, {}, false));
    aCaller->Finish(false);
  }

  [[nodiscard]] const CallerConnectionLimits& Limits() const noexcept
  {
    return mLimits;
  }

private:
  static constexpr std::size_t kMaxConnections = 64;
  /** Requests for the status have no body. */
  static constexpr wire::MessageLimits kMessageLimits{ .headBytes = 16384,
                                                       .bodyBytes = 4096 };

  std::function<Status()> mStatus;
  CallerConnectionLimits mLimits;
  Acceptor mAcceptor;
};

} // namespace balsampoint::edge
