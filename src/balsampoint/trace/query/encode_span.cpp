#include "balsampoint/trace/query/encode_span.hpp"

#include <nlohmann/json.hpp>

namespace balsampoint::trace {

namespace {

using Json = nlohmann::json;

constexpr int kSpanKindServer = 2;
constexpr int kStatusError = 2;

Json
ToJson(std::string_view aName, std::string_view aValue)
{
  return { { "key", aName }, { "value", { { "stringValue", aValue } } } };
}

std::string
Nanoseconds(WallTime aTime)
{
  return std::to_string(aTime.time_since_epoch().count());
}

} // namespace

std::string
EncodeSpan(const Span& aSpan, const HostId& aHost)
{
  auto attributes = Json::array();
  for (const auto& attribute : aSpan.attributes) {
    attributes.push_back(ToJson(attribute.name, attribute.value));
  }
  Json span{ { "traceId", aSpan.context.TraceId() },
             { "spanId", Hex(aSpan.context.span) },
             { "name", aSpan.name },
             { "kind", kSpanKindServer },
             { "startTimeUnixNano", Nanoseconds(aSpan.start) },
             { "endTimeUnixNano", Nanoseconds(aSpan.end) },
             { "attributes", std::move(attributes) } };
  if (aSpan.parent != 0) {
    span["parentSpanId"] = Hex(aSpan.parent);
  }
  if (aSpan.failed) {
    span["status"] = { { "code", kStatusError } };
  }
  const Json resource{ { "attributes",
                         { ToJson("service.name", "balsampointd"),
                           ToJson("host.name", aHost.Value()) } } };
  const Json scope{ { "scope", { { "name", "balsampoint" } } },
                    { "spans", Json::array({ std::move(span) }) } };
  const Json line{ { "resourceSpans",
                     Json::array(
                       { { { "resource", resource },
                           { "scopeSpans", Json::array({ scope }) } } }) } };
  return line.dump(-1, ' ', false, Json::error_handler_t::replace) + '\n';
}

} // namespace balsampoint::trace
