#include "balsampoint/edge/exchange_log.hpp"

#include "balsampoint/trace/event.hpp"

namespace balsampoint::edge {

namespace {

std::string
HopText(std::span<const fleet::Hop> aHops)
{
  std::string text;
  for (const auto& hop : aHops) {
    text += text.empty() ? "" : ",";
    text += hop.address;
    if (hop.layers.end > 0) {
      text += '=' + std::to_string(hop.layers.begin) + '-' +
              std::to_string(hop.layers.end);
    }
  }
  return text;
}

} // namespace

void
LogAttempt(const RequestFacts& aFacts,
           forward::AttemptEnd aEnd,
           std::string_view aReason,
           std::string_view aFault)
{
  trace::Event event{ "attempt_failed" };
  event.With("request", aFacts.request)
    .With("service", aFacts.admission.service->id)
    .With("servers", HopText(aFacts.hops))
    .With("reason", aReason)
    .With("end", static_cast<int>(aEnd))
    .With("sent", aFacts.sent)
    .With("events", aFacts.events)
    .With("age_ms", aFacts.age);
  if (!aFault.empty()) {
    event.With("at_fault", aFault);
  }
}

void
LogEnd(const RequestFacts& aFacts,
       std::string_view aHow,
       std::string_view aError,
       std::string_view aDetail,
       const std::optional<ResponseTimes>& aTimes)
{
  trace::Event event{ "request_ended" };
  event.With("request", aFacts.request).With("how", aHow);
  const auto& admission = aFacts.admission;
  if (admission.route != nullptr) {
    event.With("route", admission.route->name);
  }
  if (admission.routes) {
    event.With("configuration", admission.routes->Source().number.Value());
  }
  if (!aError.empty()) {
    event.With("error", aError).With("detail", aDetail);
  }
  event.With("servers", HopText(aFacts.hops))
    .With("sent", aFacts.sent)
    .With("total_ms", aFacts.age);
  if (aTimes) {
    event.With("events", aFacts.events)
      .With("first_ms", aTimes->toFirstEvent)
      .With("pause_ms", aTimes->longestPause);
  }
}

} // namespace balsampoint::edge
