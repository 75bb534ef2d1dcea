#include "balsampoint/edge/response.hpp"

#include "balsampoint/wire/write.hpp"

namespace balsampoint::edge {

namespace {

std::string
StatusLine(std::uint16_t aStatus, std::string_view aReason)
{
  std::string line = "HTTP/1.1 ";
  line += std::to_string(aStatus);
  line += ' ';
  line += aReason;
  line += "\r\n";
  return line;
}

} // namespace

std::string
MakeResponseHead(const wire::ResponseHead& aHead,
                 BodyFraming aFraming,
                 std::size_t aLength,
                 bool aKeepAlive)
{
  auto text = StatusLine(aHead.status,
                         aHead.reason.empty() ? wire::ReasonPhrase(aHead.status)
                                              : aHead.reason);
  for (const auto& field : aHead.fields.All()) {
    if (!wire::IsHopByHopField(field.name, aHead.fields)) {
      wire::AppendField(text, field.name, field.value);
    }
  }
  if (aFraming == BodyFraming::ContentLength) {
    wire::AppendField(text, "Content-Length", std::to_string(aLength));
  } else if (aFraming == BodyFraming::Chunked) {
    wire::AppendField(text, "Transfer-Encoding", "chunked");
  }
  if (!aKeepAlive) {
    wire::AppendField(text, "Connection", "close");
  }
  text += "\r\n";
  return text;
}

std::string
MakeResponse(std::uint16_t aStatus,
             std::string_view aFields,
             std::string_view aBody,
             bool aKeepAlive)
{
  auto text = StatusLine(aStatus, wire::ReasonPhrase(aStatus));
  text += aFields;
  if (!aBody.empty()) {
    wire::AppendField(text, "Content-Type", "application/json");
  }
  wire::AppendField(text, "Content-Length", std::to_string(aBody.size()));
  if (!aKeepAlive) {
    wire::AppendField(text, "Connection", "close");
  }
  text += "\r\n";
  text += aBody;
  return text;
}

} // namespace balsampoint::edge
