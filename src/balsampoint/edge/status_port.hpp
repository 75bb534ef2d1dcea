#pragma once

#include "balsampoint/edge/acceptor.hpp"
#include "balsampoint/edge/answer.hpp"

#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace balsampoint::edge {

/** @brief Answers every request on one address with a status and a text. */
class StatusPort
{
public:
  using Acceptor = BasicAcceptor<StatusPort>;
  using Caller = typename Acceptor::Connection;

  /** @brief The answer to give now. */
  struct Status
  {
    std::uint16_t code{};
    std::string body;
  };

  /**
   * @brief Prepares the port.
   * @param aLoop The thread's loop; outlives the port.
   * @param aStatus Makes the answer, on the loop's thread.
   */
  StatusPort(Loop& aLoop, std::function<Status()> aStatus)
    : mStatus{ std::move(aStatus) }
    , mAcceptor{ *this, aLoop.Context(), kMaxConnections }
  {
  }

  /**
   * @brief Listens from now on.
   * @param aAddress IP number and port.
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
      MakeAnswer(status.code, {}, status.body, aRequest.head.keepAlive));
    aCaller->Finish(aRequest.head.keepAlive);
  }

  void OnCallerGone(const std::shared_ptr<Caller>& /*aCaller*/) {}

  void OnUnreadable(const std::shared_ptr<Caller>& aCaller, const Error& aError)
  {
    aCaller->Send(MakeAnswer(AnswerFor(aError.kind).status, {}, {}, false));
    aCaller->Finish(false);
  }

  [[nodiscard]] const CallerBounds& Bounds() const noexcept { return mBounds; }

private:
  static constexpr std::size_t kMaxConnections = 64;

  std::function<Status()> mStatus;
  CallerBounds mBounds;
  Acceptor mAcceptor;
};

} // namespace balsampoint::edge
