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

std::string
PartsText(std::span<const PromptPartId> aParts)
{
  std::string text;
  for (const auto& part : aParts) {
    text += text.empty() ? "" : ",";
    text += part.Value();
  }
  return text;
}

void
LogAttempt(const RequestLogFields& aFields,
           forward::AttemptEnd aEnd,
           std::string_view aReason,
           std::string_view aServerAtFault)
{
  trace::Event event{ "attempt_failed" };
  event.With("request", aFields.request)
    .With("service", aFields.admission.service->id)
    .With("servers", HopText(aFields.hops))
    .With("reason", aReason)
    .With("end", static_cast<int>(aEnd))
    .With("sent", aFields.sent)
    .With("events", aFields.events)
    .With("age_ms", aFields.age)
    .With("fingerprint", aFields.fingerprint);
  if (!aServerAtFault.empty()) {
    event.With("at_fault", aServerAtFault);
  }
  if (!aFields.sharedParts.empty()) {
    event.With("prompt_parts", PartsText(aFields.sharedParts));
  }
}

void
LogDiscardedAnswer(const RequestId& aRequest,
                   std::string_view aReason,
                   const AnswerOrigin& aOrigin)
{
  trace::Event{ "answer_discarded" }
    .With("request", aRequest)
    .With("reason", aReason)
    .With("server", aOrigin.server.server)
    .With("address", aOrigin.server.address)
    .With("status", aOrigin.status)
    .With("named", aOrigin.namedRequest)
    .With("since_sent_ms", aOrigin.sinceSent);
}

void
LogUnsolicitedBytes(std::string_view aAddress, std::size_t aSize)
{
  trace::Event{ "unsolicited_bytes" }
    .With("address", aAddress)
    .With("bytes", aSize);
}

void
LogEnd(const RequestLogFields& aFields,
       std::string_view aOutcome,
       std::string_view aError,
       std::string_view aDetail,
       const std::optional<ResponseTimes>& aTimes)
{
  trace::Event event{ "request_ended" };
  event.With("request", aFields.request).With("how", aOutcome);
  const auto& admission = aFields.admission;
  if (admission.route != nullptr) {
    event.With("route", admission.route->name);
  }
  if (admission.routes) {
    event.With("configuration", admission.routes->Source().number.Value());
  }
  if (!aError.empty()) {
    event.With("error", aError).With("detail", aDetail);
  }
  event.With("servers", HopText(aFields.hops))
    .With("sent", aFields.sent)
    .With("total_ms", aFields.age);
  if (const auto& room = aFields.room) {
    event.With("urgency", room->urgency).With("kv_level", room->level);
    if (room->waited) {
      event.With("waited_ms", *room->waited);
    }
    if (!room->verdict.empty()) {
      event.With("room", room->verdict);
    }
  }
  if (aTimes) {
    event.With("events", aFields.events)
      .With("first_ms", aTimes->toFirstEvent)
      .With("pause_ms", aTimes->longestPause);
  }
}

} // namespace balsampoint::edge
