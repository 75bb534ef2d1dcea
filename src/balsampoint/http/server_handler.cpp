#include "balsampoint/http/server_handler.hpp"

#include "balsampoint/http/engine_codec.hpp"
#include "balsampoint/http/problem.hpp"

#include <nlohmann/json.hpp>
#include <utility>

namespace balsampoint::http {

namespace {

constexpr std::uint64_t kMaxBodyBytes = 256ULL * 1024;

tl::expected<Duration, Error>
Run(ServerRequest& aRequest, const ServerHandler::Announce& aAnnounce)
{
  if (aRequest.getURI() != kAnnouncementsPath) {
    return Refuse(ErrorKind::NotFound, aRequest.getURI());
  }
  if (aRequest.getMethod() != "POST") {
    return Refuse(ErrorKind::MethodNotAllowed, "only POST is taken here");
  }
  const auto body = ReadBody(aRequest, kMaxBodyBytes);
  if (!body) {
    return tl::unexpected(body.error());
  }
  return Decode<registry::Announcement>(*body).and_then(aAnnounce);
}

} // namespace

ServerHandler::ServerHandler(Announce aAnnounce)
  : mAnnounce{ std::move(aAnnounce) }
{
}

void
ServerHandler::Handle(ServerRequest& aRequest, ServerResponse& aResponse)
{
  const auto renewal = Run(aRequest, mAnnounce);
  if (!renewal) {
    SendProblem(aResponse, renewal.error());
    return;
  }
  const auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(*renewal).count();
  SendJson(aResponse,
           nlohmann::json{ { "renew_within_ms", milliseconds } }.dump());
}

} // namespace balsampoint::http
