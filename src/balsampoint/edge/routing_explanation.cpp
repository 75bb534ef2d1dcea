#include "balsampoint/edge/routing_explanation.hpp"

#include "balsampoint/edge/room_wait.hpp"
#include "balsampoint/edge/server_choice.hpp"
#include "balsampoint/quarantine/query/is_quarantined.hpp"
#include "balsampoint/reach/query/choose_detour.hpp"

#include <array>
#include <set>
#include <utility>

namespace balsampoint::edge {

namespace {

std::optional<Duration>
AgeOf(Instant aAt, Instant aNow)
{
  return aAt == Instant::min() ? std::nullopt : std::optional{ aNow - aAt };
}

std::string
LinkText(const reach::State& aReach, Instant aNow)
{
  if (aReach.link == reach::Link::Up) {
    return "direct";
  }
  return reach::UsesDetours(aReach, aNow) ? "detour" : "none";
}

tl::expected<void, Error>
Verdict(const TrafficState& aTraffic,
        const RouteQuestion& aQuestion,
        SplitMix64& aRandom,
        Admission& aAdmission)
{
  auto admitted =
    DecideAdmission(aTraffic,
                    { .host = aQuestion.parameters.host,
                      .path = aQuestion.path,
                      .key = aQuestion.parameters.key,
                      .workspace = aQuestion.workspace,
                      // The request itself counts once it has arrived.
                      .activeRequests = aTraffic.activeRequests + 1 },
                    aRandom,
                    aAdmission);
  if (!admitted || aQuestion.fingerprint.empty()) {
    return admitted;
  }
  const std::array ids{ quarantine::SuspectId::Request(aQuestion.fingerprint) };
  if (quarantine::IsQuarantined(aTraffic.quarantine, ids)) {
    return Refuse(ErrorKind::NoServer, "servers crash under the request");
  }
  return admitted;
}

std::optional<limit::ShortageExplanation>
ExplainShortage(const TrafficState& aTraffic,
                const Admission& aAdmission,
                const RequestParameters& aParameters,
                Instant aNow)
{
  const auto& service = aAdmission.service->id;
  auto room = MakeRoomRequest(aTraffic, aAdmission, aParameters, aNow);
  room.request.latest = LatestStart(aTraffic, service, room);
  auto explanation = limit::Explain(
    aTraffic.shortage, service, room.request, aParameters.id, aNow);
  if (explanation && !room.mayWait) {
    explanation->blocked = false;
    explanation->wouldWait = false;
  }
  return explanation;
}

} // namespace

RoutingExplanation
ExplainRouting(const TrafficState& aTraffic, const RouteQuestion& aQuestion)
{
  const auto now = TrafficState::Now();
  auto random = aTraffic.random;
  RoutingExplanation explanation{
    .activeRequests = aTraffic.activeRequests,
    .maxActiveRequests = aTraffic.maxActiveRequests,
    .link = LinkText(aTraffic.reach, now),
    .chain = fleet::Chain{},
    .usageAge = AgeOf(aTraffic.fleet.remoteUsageAt, now),
    .rosterAge = AgeOf(aTraffic.serversAt, now),
  };
  auto& admission = explanation.admission;
  explanation.verdict = Verdict(aTraffic, aQuestion, random, admission);
  if (admission.route != nullptr) {
    explanation.urgency = UrgencyOf(admission);
  }
  if (admission.service == nullptr) {
    return explanation;
  }
  const auto sample = random.Next();
  const auto& parameters = aQuestion.parameters;
  explanation.shortage = ExplainShortage(aTraffic, admission, parameters, now);
  const std::set<ServerId> none;
  ServerRestrictions restrictions{ none, none };
  if (explanation.shortage) {
    restrictions.kvFraction = explanation.shortage->requestLevel.fraction;
  }
  explanation.candidates = DescribeServers(
    aTraffic.fleet, *admission.service, parameters, restrictions, sample, now);
  if (!explanation.verdict) {
    return explanation;
  }
  if (explanation.shortage && explanation.shortage->blocked) {
    explanation.chain =
      Refuse(ErrorKind::NoServer, "other requests wait for room");
    return explanation;
  }
  explanation.chain = FindServers(
    aTraffic.fleet, *admission.service, parameters, restrictions, sample, now);
  return explanation;
}

} // namespace balsampoint::edge
