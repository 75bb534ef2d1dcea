#include "balsampoint/edge/detour_stream.hpp"

#include "balsampoint/wire/write.hpp"

#include <limits>

namespace balsampoint::edge {

namespace {

constexpr std::string_view kPathPrefix = "/connections/";
constexpr std::string_view kTokenPrefix = "Bearer ";
/** Bounds what a host that isn't one of the cluster can make this one keep. */
constexpr std::size_t kMaxHeadBytes = 2048;

} // namespace

std::string
WriteDetourRequest(std::string_view aServer, std::string_view aToken)
{
  std::string request{ "POST " };
  request += kPathPrefix;
  request += aServer;
  request += " HTTP/1.1\r\n";
  wire::AppendField(request, "Host", aServer);
  std::string credentials{ kTokenPrefix };
  credentials += aToken;
  wire::AppendField(request, "Authorization", credentials);
  wire::AppendField(request, "Transfer-Encoding", "chunked");
  return request + "\r\n";
}

std::string
WriteDetourAnswer(DetourStatus aStatus)
{
  const auto status = static_cast<std::uint16_t>(aStatus);
  auto answer = "HTTP/1.1 " + std::to_string(status) + " ";
  answer += wire::ReasonPhrase(status);
  answer += "\r\n";
  if (aStatus == DetourStatus::Open) {
    wire::AppendField(answer, "Transfer-Encoding", "chunked");
  } else {
    wire::AppendField(answer, "Content-Length", "0");
    wire::AppendField(answer, "Connection", "close");
  }
  return answer + "\r\n";
}

std::optional<DetourRequest>
ReadDetourRequest(const wire::RequestHead& aHead)
{
  const std::string_view target{ aHead.target };
  const auto credentials = aHead.fields.Find("Authorization").value_or("");
  if (aHead.method != "POST" || !target.starts_with(kPathPrefix) ||
      !credentials.starts_with(kTokenPrefix)) {
    return std::nullopt;
  }
  return DetourRequest{ target.substr(kPathPrefix.size()),
                        credentials.substr(kTokenPrefix.size()) };
}

DetourStream::DetourStream()
  : mParser{ wire::MessageKind::Response,
             { .headBytes = kMaxHeadBytes,
               .bodyBytes = std::numeric_limits<std::uint64_t>::max() } }
{
}

std::string
DetourStream::Read(std::string_view aBytes)
{
  static_cast<void>(mParser.Read(aBytes));
  return mParser.TakeBody();
}

std::optional<DetourStatus>
DetourStream::Answer() const
{
  if (!mParser.HasHead()) {
    return std::nullopt;
  }
  switch (const auto status = DetourStatus{ mParser.Response().status }) {
    case DetourStatus::Open:
    case DetourStatus::ServerUnreachable:
      return status;
    default:
      return DetourStatus::Unavailable;
  }
}

} // namespace balsampoint::edge
