#include "balsampoint/http/service_client.hpp"

#include "balsampoint/runtime/steady_clock.hpp"

#include <Poco/String.h>
#include <algorithm>
#include <array>
#include <utility>

namespace balsampoint::http {

namespace {

constexpr std::uint16_t kServerError = 500;

ledger::StoredAnswer
ToAnswer(ClientResponse aResponse)
{
  ledger::StoredAnswer answer{ .status = aResponse.status,
                               .headers = {},
                               .body = std::move(aResponse.body),
                               .complete = true };
  for (auto& header : aResponse.headers) {
    if (!IsEndToEnd(header.name)) {
      continue;
    }
    answer.headers.push_back(
      { std::move(header.name), std::move(header.value) });
  }
  return answer;
}

} // namespace

ServiceClient::ServiceClient(ClientPool& aPool, ClientRequest aRequest)
  : mPool{ aPool }
  , mRequest{ std::move(aRequest) }
{
}

traffic::ServiceReply
ServiceClient::Call(const std::string& aAddress, Instant aDeadline)
{
  using retry::AttemptResult;
  auto response =
    mPool.Call(aAddress, mRequest, aDeadline - runtime::SteadyClock::Now());
  if (!response) {
    const auto& failure = response.error();
    return { .result = failure.maybeSent ? AttemptResult::Broken
                                         : AttemptResult::NotSent,
             .answer = {},
             .error = failure.error };
  }
  const bool failed = response->status >= kServerError;
  return { .result =
             failed ? AttemptResult::ServerError : AttemptResult::Answered,
           .answer = ToAnswer(std::move(*response)),
           .error = {} };
}

bool
IsEndToEnd(std::string_view aName)
{
  constexpr std::array<std::string_view, 12> kOwn{ "connection",
                                                   "content-length",
                                                   "keep-alive",
                                                   "proxy-authenticate",
                                                   "proxy-authorization",
                                                   "te",
                                                   "trailer",
                                                   "transfer-encoding",
                                                   "upgrade",
                                                   "host",
                                                   "authorization",
                                                   "expect" };
  const auto lower = Poco::toLower(std::string{ aName });
  return std::ranges::find(kOwn, lower) == kOwn.end();
}

} // namespace balsampoint::http
