#pragma once

#include "balsampoint/http/command/run_completion.hpp"
#include "balsampoint/http/listener.hpp"

#include <string>

namespace balsampoint::http {

/** @brief Answers callers: completions, plain services, health, metrics. */
class CallerHandler
{
public:
  /**
   * @brief Keeps what the commands work with.
   * @param aServices What to work with; outlives the handler.
   * @param aMaxRequests Requests in progress at most.
   */
  CallerHandler(CallerServices aServices, std::uint32_t aMaxRequests);

  /**
   * @brief Answers one request.
   * @param aRequest The request.
   * @param aResponse The answer.
   */
  void Handle(ServerRequest& aRequest, ServerResponse& aResponse);

private:
  void Dispatch(ServerRequest& aRequest, ServerResponse& aResponse);
  void Work(ServerRequest& aRequest, ServerResponse& aResponse);
  void Route(const CallerRequest& aCaller,
             ServerRequest& aRequest,
             ServerResponse& aResponse);
  void CountFailure(const Error& aError, bool aAnswerStarted);
  [[nodiscard]] CallerRequest Identify(const ServerRequest& aRequest) const;

  CallerServices mServices;
  std::uint32_t mMaxRequests;
};

} // namespace balsampoint::http
