#include "balsampoint/http/problem.hpp"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/NetException.h>
#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace balsampoint::http {

namespace {

constexpr std::size_t kChunkBytes = 16384;
constexpr std::size_t kMaxDroppedBytes = 16ULL * 1024 * 1024;

std::int64_t
WholeSeconds(Duration aDuration)
{
  return std::chrono::ceil<std::chrono::seconds>(aDuration).count();
}

} // namespace

std::string
EncodeProblem(const Error& aError)
{
  const auto& answer = AnswerFor(aError.kind);
  const nlohmann::json document{
    { "type", "about:blank" },   { "title", answer.title },
    { "status", answer.status }, { "detail", aError.detail },
    { "kind", answer.name },     { "executed", ToString(aError.executed) },
  };
  return document.dump(
    -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void
SendProblem(ServerResponse& aResponse, const Error& aError)
{
  const auto body = EncodeProblem(aError);
  aResponse.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(
    AnswerFor(aError.kind).status));
  aResponse.setContentType("application/problem+json");
  if (aError.retryAfter > Duration::zero()) {
    aResponse.set("Retry-After",
                  std::to_string(WholeSeconds(aError.retryAfter)));
  }
  aResponse.sendBuffer(body.data(), body.size());
}

void
RefuseUnread(ServerRequest& aRequest,
             ServerResponse& aResponse,
             const Error& aError)
{
  const bool hasBody =
    aRequest.hasContentLength() || aRequest.getChunkedTransferEncoding();
  if (!hasBody) {
    SendProblem(aResponse, aError);
    return;
  }
  aResponse.setKeepAlive(false);
  SendProblem(aResponse, aError);
  std::array<char, kChunkBytes> chunk{};
  auto& stream = aRequest.stream();
  for (std::size_t dropped = 0; stream.good() && dropped < kMaxDroppedBytes;
       dropped += chunk.size()) {
    stream.read(chunk.data(), chunk.size());
  }
}

void
SendJson(ServerResponse& aResponse, std::string_view aBody)
{
  aResponse.setContentType("application/json");
  aResponse.sendBuffer(aBody.data(), aBody.size());
}

tl::expected<std::string, Error>
ReadBody(ServerRequest& aRequest, std::uint64_t aLimit)
{
  const auto tooLarge = [aLimit] {
    return Refuse(ErrorKind::PayloadTooLarge,
                  "the body is over " + std::to_string(aLimit) + " bytes");
  };
  if (aRequest.hasContentLength() &&
      static_cast<std::uint64_t>(aRequest.getContentLength64()) > aLimit) {
    return tooLarge();
  }
  std::string body;
  std::array<char, kChunkBytes> chunk{};
  auto& stream = aRequest.stream();
  while (stream.good()) {
    stream.read(chunk.data(), chunk.size());
    body.append(chunk.data(), static_cast<std::size_t>(stream.gcount()));
    if (body.size() > aLimit) {
      return tooLarge();
    }
  }
  if (aRequest.hasContentLength() &&
      body.size() !=
        static_cast<std::uint64_t>(aRequest.getContentLength64())) {
    return Refuse(ErrorKind::RequestTimeout, "the body did not arrive whole");
  }
  return body;
}

} // namespace balsampoint::http
