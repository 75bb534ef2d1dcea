#include "balsampoint/daemon/routing_query.hpp"

#include "balsampoint/edge/routing_explanation.hpp"

#include <Poco/Exception.h>
#include <Poco/URI.h>
#include <algorithm>
#include <charconv>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string_view>

namespace balsampoint::daemon {

namespace {

using Answer = edge::OperatorPort::Answer;
using Json = nlohmann::ordered_json;

constexpr std::string_view kPath = "/v1/route-of";
constexpr std::string_view kBearer = "Bearer ";

Answer
Problem(ErrorKind aKind, std::string_view aDetail)
{
  const auto& answer = AnswerFor(aKind);
  return { answer.status,
           Json{ { "kind", answer.name },
                 { "title", answer.title },
                 { "detail", aDetail } }
             .dump() };
}

tl::expected<double, Error>
ReadTokens(const std::string& aName, const std::string& aValue)
{
  std::uint32_t tokens{};
  const auto* last = aValue.data() + aValue.size();
  const auto read = std::from_chars(aValue.data(), last, tokens);
  if (read.ec != std::errc{} || read.ptr != last) {
    return Refuse(ErrorKind::BadRequest, aName + " is not a number of tokens");
  }
  return tokens;
}

tl::expected<void, Error>
ReadParameter(const std::string& aName,
              const std::string& aValue,
              edge::RouteQuestion& aQuestion)
{
  auto& parameters = aQuestion.parameters;
  if (aName == "path") {
    aQuestion.path = aValue;
  } else if (aName == "host") {
    parameters.host = aValue;
  } else if (aName == "workspace") {
    aQuestion.workspace = WorkspaceId{ aValue };
  } else if (aName == "request_id") {
    parameters.id = RequestId{ aValue };
  } else if (aName == "fingerprint") {
    aQuestion.fingerprint = aValue;
  } else if (aName == "prompt_tokens" || aName == "answer_tokens") {
    const auto tokens = ReadTokens(aName, aValue);
    if (!tokens) {
      return tl::unexpected(tokens.error());
    }
    auto& demand = parameters.tokens;
    demand = demand.value_or(edge::TokenDemand{});
    if (aName == "prompt_tokens") {
      demand->promptTokens = *tokens;
    } else {
      demand->expectedAnswerTokens = *tokens;
    }
  } else {
    return Refuse(ErrorKind::BadRequest, "unknown parameter " + aName);
  }
  return {};
}

tl::expected<edge::RouteQuestion, Error>
ReadQuestion(const std::string& aTarget)
{
  edge::RouteQuestion question;
  try {
    for (const auto& [name, value] :
         Poco::URI{ aTarget }.getQueryParameters()) {
      if (auto read = ReadParameter(name, value, question); !read) {
        return tl::unexpected(read.error());
      }
    }
  } catch (const Poco::SyntaxException& failure) {
    return Refuse(ErrorKind::BadRequest, failure.displayText());
  }
  const auto& tokens = question.parameters.tokens;
  if (tokens && tokens->promptTokens == 0.0) {
    return Refuse(ErrorKind::BadRequest, "answer_tokens needs prompt_tokens");
  }
  return question;
}

Json
Milliseconds(const std::optional<Duration>& aAge)
{
  if (!aAge) {
    return nullptr;
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(*aAge).count();
}

Json
LayersText(const std::optional<LayerRange>& aLayers)
{
  if (!aLayers || aLayers->end == 0) {
    return nullptr;
  }
  return std::to_string(aLayers->begin) + "-" +
         std::to_string(aLayers->end - 1);
}

Json
ToJson(const fleet::Candidate& aCandidate, const fleet::Chain* aChain)
{
  Json used = nullptr;
  if (aChain != nullptr) {
    const auto hop =
      std::ranges::find(aChain->hops, aCandidate.server, &fleet::Hop::server);
    if (hop != aChain->hops.end()) {
      used = hop->layers.end == 0 ? Json{ "all" } : LayersText(hop->layers);
    }
  }
  return { { "server", aCandidate.server.String() },
           { "address", aCandidate.address },
           { "zone", aCandidate.zone.String() },
           { "layers", LayersText(aCandidate.layers) },
           { "chosen", std::move(used) },
           { "cost", aCandidate.cost ? Json(*aCandidate.cost) : Json{} },
           { "kv_use", aCandidate.kvUse },
           { "passing", aCandidate.passing },
           { "failure_rate", aCandidate.failureRate },
           { "excluded",
             aCandidate.excluded.empty() ? Json{}
                                         : Json(aCandidate.excluded) } };
}

/** @brief What the verdict of the admission under shortage rests on. */
void
AppendShortage(const limit::ShortageExplanation& aShortage, Json& aJson)
{
  aJson["level"] = aShortage.requestLevel.fraction;
  aJson["in_minimum_share"] = aShortage.requestLevel.inMinShare;
  aJson["level_of_urgency"] = aShortage.level.fraction;
  aJson["ramp_of_urgency"] = aShortage.level.ramp;
  aJson["minimum_share"] = aShortage.level.minShare;
  auto& demand = aJson["demand"] = Json::object();
  for (const auto& [urgency, perSecond] : aShortage.demand) {
    demand[std::to_string(urgency)] = perSecond;
  }
  aJson["demand_age_ms"] = Milliseconds(aShortage.sumsAge);
  aJson["waiting_before"] = aShortage.waitingBefore;
  aJson["blocked"] = aShortage.blocked;
  aJson["expected_wait_ms"] = Milliseconds(aShortage.expectedWait);
  aJson["would_wait"] = aShortage.wouldWait;
}

Json
ToJson(const edge::RoutingExplanation& aExplanation)
{
  const auto& admission = aExplanation.admission;
  const auto name = [](const auto* aObject) {
    return aObject == nullptr ? Json{} : Json(aObject->id.String());
  };
  Json json{
    { "workspace", name(admission.workspace) },
    { "route", admission.route ? Json(admission.route->name) : Json{} },
    { "service", name(admission.service) },
    { "urgency", admission.route ? Json(aExplanation.urgency) : Json{} },
    { "verdict", aExplanation.verdict ? "admitted" : "refused" },
    { "because",
      aExplanation.verdict ? Json{}
                           : Json(aExplanation.verdict.error().detail) },
    { "active_requests", aExplanation.activeRequests },
    { "max_active_requests", aExplanation.maxActiveRequests },
    { "link", aExplanation.link },
    { "usage_age_ms", Milliseconds(aExplanation.usageAge) },
    { "roster_age_ms", Milliseconds(aExplanation.rosterAge) },
  };
  if (aExplanation.shortage) {
    AppendShortage(*aExplanation.shortage, json);
  }
  const auto& chain = aExplanation.chain;
  json["chain"] = Json::array();
  if (chain) {
    for (const auto& hop : chain->hops) {
      json["chain"].push_back(hop.server.String());
    }
    json["event_ms"] = chain->eventMs;
    json["first_event_ms"] = chain->firstEventMs;
  } else {
    json["no_chain_because"] = chain.error().detail;
  }
  json["candidates"] = Json::array();
  for (const auto& candidate : aExplanation.candidates) {
    json["candidates"].push_back(ToJson(candidate, chain ? &*chain : nullptr));
  }
  return json;
}

bool
IsOperator(const config::KeyIndex& aKeys, const wire::RequestHead& aHead)
{
  const auto field =
    aHead.fields.Find("Authorization").value_or(std::string_view{});
  return field.starts_with(kBearer) &&
         aKeys.FindOperator(field.substr(kBearer.size())).has_value();
}

} // namespace

Answer
AnswerRoutingQuery(const edge::TrafficState& aTraffic,
                   const config::KeyIndex& aKeys,
                   const wire::RequestHead& aHead)
{
  if (!IsOperator(aKeys, aHead)) {
    return Problem(ErrorKind::Unauthorized, "the operator's key is missing");
  }
  if (aHead.Path() != kPath || aHead.method != "GET") {
    return Problem(ErrorKind::NotFound, "only GET /v1/route-of is served here");
  }
  const auto question = ReadQuestion(aHead.target);
  if (!question) {
    return Problem(question.error().kind, question.error().detail);
  }
  constexpr std::uint16_t kOk = 200;
  return { kOk, ToJson(edge::ExplainRouting(aTraffic, *question)).dump() };
}

} // namespace balsampoint::daemon
