#include "balsampoint/edge/routing_explanation.hpp"

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
    explanation.urgency = admission.workspace && admission.workspace->priority
                            ? *admission.workspace->priority
                            : admission.route->priority;
  }
  if (admission.service == nullptr) {
    return explanation;
  }
  const auto sample = random.Next();
  const auto& parameters = aQuestion.parameters;
  explanation.candidates = DescribeServers(
    aTraffic.fleet, *admission.service, parameters, sample, now);
  if (explanation.verdict) {
    const std::set<ServerId> none;
    explanation.chain = FindServers(aTraffic.fleet,
                                    *admission.service,
                                    parameters,
                                    { none, none },
                                    sample,
                                    now);
  }
  return explanation;
}

} // namespace balsampoint::edge
