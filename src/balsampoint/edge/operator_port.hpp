#pragma once

#include "balsampoint/edge/acceptor.hpp"
#include "balsampoint/edge/response.hpp"

#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace balsampoint::edge {

/** @brief Answers the queries of operators on one address. */
class OperatorPort
{
public:
  using Acceptor = BasicAcceptor<OperatorPort>;
  using Caller = typename Acceptor::Connection;

  /** @brief HTTP status and JSON body of an answer. */
  struct Answer
  {
    std::uint16_t status{};
    std::string body;
  };

  /** @brief Answers one query; checks the operator's key first. */
  using Query = std::function<Answer(const wire::RequestHead&)>;

  /**
   * @brief Makes a port that does not listen yet.
   * @param aLoop Loop of the traffic thread; outlives the port.
   * @param aQuery Called on the traffic thread for each request.
   * @param aMemory Account of the bytes that connections hold; null for none.
   */
  OperatorPort(net::Loop& aLoop, Query aQuery, MemoryAccount* aMemory = nullptr)
    : mQuery{ std::move(aQuery) }
    , mLimits{ .message = { .bodyBytes = kMaxBodyBytes }, .memory = aMemory }
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
    const auto answer = mQuery(aRequest.head);
    aCaller->Send(
      MakeResponse(answer.status, {}, answer.body, aRequest.head.keepAlive));
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
  static constexpr std::size_t kMaxConnections = 16;
  static constexpr std::uint64_t kMaxBodyBytes = 4096;

  Query mQuery;
  CallerConnectionLimits mLimits;
  Acceptor mAcceptor;
};

} // namespace balsampoint::edge
