#include "balsampoint/cli/internal/client.hpp"

#include <algorithm>
#include <utility>

namespace balsampoint::cli {

namespace {

constexpr Duration kCallTimeout = std::chrono::seconds{ 10 };
constexpr std::uint16_t kFirstErrorStatus = 300;
constexpr std::uint64_t kMaxResponseBytes = 64ULL * 1024 * 1024;

/** @brief Finds a kind of error by its stable name. */
ErrorKind
KindNamed(std::string_view aName)
{
  const auto answers = ErrorAnswers();
  const auto found = std::ranges::find(answers, aName, &ErrorAnswer::name);
  return found == answers.end() ? ErrorKind::Internal : found->kind;
}

std::string
ProblemText(const Json& aProblem)
{
  auto text = aProblem.value("title", "The host refused.");
  if (const auto detail = aProblem.value("detail", ""); !detail.empty()) {
    text += " " + detail;
  }
  return text;
}

} // namespace

tl::expected<Json, ClientError>
Client::Get(std::string_view aPath)
{
  return Send({ .method = "GET",
                .path = std::string{ aPath },
                .maxResponseBytes = kMaxResponseBytes });
}

tl::expected<Json, ClientError>
Client::Send(http::ClientRequest aRequest, Duration aWork)
{
  if (mOptions.hosts.empty()) {
    return tl::unexpected(ClientError{
      ExitCode::Usage, "no host named: give --hosts or BALSAMPOINT_HOSTS" });
  }
  aRequest.headers.push_back({ "Authorization", "Bearer " + mOptions.key });
  bool maybeSent = false;
  std::string causes;
  for (const auto& host : mOptions.hosts) {
    const auto response = mPool.Call(host, aRequest, kCallTimeout + aWork);
    if (response) {
      return Read(*response);
    }
    maybeSent = maybeSent || response.error().maybeSent;
    causes += "\n  " + response.error().error.detail;
  }
  if (maybeSent && aRequest.method != "GET") {
    return tl::unexpected(ClientError{
      ExitCode::OutcomeUnknown,
      "the answer was lost and the command may have been carried out; the "
      "same command may be sent again safely:" +
        causes });
  }
  return tl::unexpected(
    ClientError{ ExitCode::Unreachable, "no host could be reached:" + causes });
}

tl::expected<Json, ClientError>
Client::Read(const http::ClientResponse& aResponse)
{
  auto document = Json::parse(aResponse.body, nullptr, false);
  if (document.is_discarded()) {
    return tl::unexpected(
      ClientError{ ExitCode::Failed, "the host's answer is not JSON" });
  }
  if (aResponse.status < kFirstErrorStatus) {
    return document;
  }
  if (!document.is_object()) {
    document = Json::object();
  }
  const auto kind = KindNamed(document.value("kind", ""));
  return tl::unexpected(
    ClientError{ ExitCodeFor(kind), ProblemText(document) });
}

} // namespace balsampoint::cli
