#include "balsampoint/peer/usage_codec.hpp"

#include "balsampoint/peer/generated/usage_types.h"
#include "balsampoint/peer/thrift_bytes.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <span>

namespace balsampoint::peer {

namespace {

namespace wire = generated;

std::int64_t
ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

/** @brief Reads a time span and bounds it, so that sums can't overflow. */
Duration
FromMilliseconds(std::int64_t aMilliseconds)
{
  constexpr std::chrono::milliseconds kLongest = std::chrono::hours{ 24 };
  return std::clamp(std::chrono::milliseconds{ aMilliseconds },
                    std::chrono::milliseconds{},
                    kLongest);
}

/** @brief Reads a rate and bounds it; one that is no number is zero. */
double
BoundedRate(double aRate)
{
  constexpr double kHighest = 1e6;
  return aRate > 0.0 ? std::min(aRate, kHighest) : 0.0;
}

/** @brief Reads a number of tokens and bounds it; one that is no number is
 * zero.
 */
double
BoundedTokens(double aTokens)
{
  constexpr double kMost = 1e12;
  return aTokens > 0.0 ? std::min(aTokens, kMost) : 0.0;
}

/** @brief Reads a fraction and bounds it; one that is no number is zero. */
double
BoundedFraction(double aFraction)
{
  return aFraction > 0.0 ? std::min(aFraction, 1.0) : 0.0;
}

wire::UsageRate
ToWire(const usage::RateStatement& aRate)
{
  wire::UsageRate rate;
  rate.incarnation = static_cast<std::int64_t>(aRate.incarnation.Value());
  if (aRate.limit) {
    rate.__set_limit(*aRate.limit);
  }
  rate.ageMs = ToMilliseconds(aRate.age);
  return rate;
}

usage::RateStatement
FromWire(const wire::UsageRate& aRate)
{
  return { .incarnation =
             Incarnation{ static_cast<std::uint64_t>(aRate.incarnation) },
           .limit = aRate.__isset.limit
                      ? std::optional{ BoundedRate(aRate.limit) }
                      : std::nullopt,
           .age = FromMilliseconds(aRate.ageMs) };
}

std::vector<wire::UsageService>
ToWire(std::span<const usage::ServiceUsage> aServices)
{
  std::vector<wire::UsageService> services;
  services.reserve(aServices.size());
  for (const auto& use : aServices) {
    auto& service = services.emplace_back();
    service.name = use.service.String();
    service.demand = use.demand;
    for (const auto& one : use.byUrgency) {
      wire::UsageUrgency urgency;
      urgency.urgency = static_cast<std::int32_t>(one.urgency);
      urgency.kvPerSecond = one.kvPerSecond;
      service.byUrgency.push_back(urgency);
    }
    service.__isset.byUrgency = !service.byUrgency.empty();
  }
  return services;
}

/** @brief Reads the demand by urgency, of a bounded number of urgencies. */
std::vector<usage::UrgencyDemand>
FromWire(std::span<const wire::UsageUrgency> aDemand)
{
  constexpr std::size_t kMostUrgencies = 16;
  std::vector<usage::UrgencyDemand> demand;
  for (const auto& one :
       aDemand.first(std::min(aDemand.size(), kMostUrgencies))) {
    if (one.urgency < 0) {
      continue;
    }
    demand.push_back({ static_cast<std::uint32_t>(one.urgency),
                       BoundedTokens(one.kvPerSecond) });
  }
  return demand;
}

std::vector<usage::ServiceUsage>
FromWire(std::span<const wire::UsageService> aServices)
{
  std::vector<usage::ServiceUsage> services;
  services.reserve(aServices.size());
  for (const auto& service : aServices) {
    auto& use = services.emplace_back();
    use.service = ServiceId{ service.name };
    use.demand = BoundedRate(service.demand);
    if (service.__isset.byUrgency) {
      use.byUrgency = FromWire(service.byUrgency);
    }
  }
  return services;
}

std::vector<wire::UsageServer>
ToWire(const std::vector<usage::ServerUsage>& aServers)
{
  std::vector<wire::UsageServer> servers;
  servers.reserve(aServers.size());
  for (const auto& use : aServers) {
    auto& server = servers.emplace_back();
    server.server = use.server.String();
    server.passing = static_cast<std::int32_t>(use.passing);
    server.sent = static_cast<std::int32_t>(use.sent);
    server.kv = static_cast<std::int64_t>(use.kv);
    if (use.recent > 0) {
      server.__set_recent(static_cast<std::int32_t>(use.recent));
    }
    if (use.rate) {
      server.__set_rate(ToWire(*use.rate));
    }
    if (use.rejection) {
      wire::UsageRejection rejection;
      rejection.ageMs = ToMilliseconds(use.rejection->age);
      rejection.fill = use.rejection->fill;
      server.__set_rejection(rejection);
    }
    if (use.waitingPrompt > 0.0) {
      server.__set_waitingPrompt(static_cast<std::int64_t>(use.waitingPrompt));
    }
  }
  return servers;
}

std::vector<usage::ServerUsage>
FromWire(const std::vector<wire::UsageServer>& aServers)
{
  std::vector<usage::ServerUsage> servers;
  servers.reserve(aServers.size());
  for (const auto& server : aServers) {
    auto& use = servers.emplace_back();
    use.server = ServerId{ server.server };
    use.passing = static_cast<std::uint32_t>(server.passing);
    use.sent = static_cast<std::uint32_t>(server.sent);
    use.kv = static_cast<double>(server.kv);
    if (server.__isset.recent) {
      use.recent = static_cast<std::uint32_t>(std::max(0, server.recent));
    }
    if (server.__isset.rate) {
      use.rate = FromWire(server.rate);
    }
    if (server.__isset.rejection) {
      use.rejection = { FromMilliseconds(server.rejection.ageMs),
                        BoundedFraction(server.rejection.fill) };
    }
    if (server.__isset.waitingPrompt) {
      use.waitingPrompt =
        BoundedTokens(static_cast<double>(server.waitingPrompt));
    }
  }
  return servers;
}

std::vector<wire::UsageSuspect>
ToWire(std::span<const quarantine::SuspectReport> aReports)
{
  std::vector<wire::UsageSuspect> suspects;
  suspects.reserve(aReports.size());
  for (const auto& report : aReports) {
    auto& suspect = suspects.emplace_back();
    suspect.part = report.suspect.id;
    suspect.__set_request(report.suspect.kind ==
                          quarantine::SuspectKind::Request);
    suspect.__set_cameAgain(report.cameAgain);
    suspect.__set_answersBegan(report.answersBegan);
    suspect.activeForMs = ToMilliseconds(report.activeFor);
    if (report.answeredFor) {
      suspect.__set_answeredForMs(ToMilliseconds(*report.answeredFor));
    }
    for (const auto& [server, age] : report.crashes) {
      auto& crash = suspect.crashes.emplace_back();
      crash.server = server.server.String();
      crash.incarnation = static_cast<std::int64_t>(server.incarnation.Value());
      crash.ageMs = ToMilliseconds(age);
    }
  }
  return suspects;
}

std::vector<quarantine::SuspectReport>
FromWire(std::span<const wire::UsageSuspect> aSuspects)
{
  std::vector<quarantine::SuspectReport> reports;
  reports.reserve(aSuspects.size());
  for (const auto& suspect : aSuspects) {
    auto& report = reports.emplace_back();
    const bool isRequest = suspect.__isset.request && suspect.request;
    report.suspect = { isRequest ? quarantine::SuspectKind::Request
                                 : quarantine::SuspectKind::PromptPart,
                       suspect.part };
    report.cameAgain = suspect.__isset.cameAgain && suspect.cameAgain;
    report.answersBegan = suspect.__isset.answersBegan && suspect.answersBegan;
    report.activeFor = FromMilliseconds(suspect.activeForMs);
    if (suspect.__isset.answeredForMs) {
      report.answeredFor = FromMilliseconds(suspect.answeredForMs);
    }
    for (const auto& crash : suspect.crashes) {
      report.crashes.push_back(
        { { ServerId{ crash.server },
            Incarnation{ static_cast<std::uint64_t>(crash.incarnation) } },
          FromMilliseconds(crash.ageMs) });
    }
  }
  return reports;
}

std::vector<wire::UsageDetour>
ToWire(std::span<const reach::Detour> aDetours)
{
  std::vector<wire::UsageDetour> detours;
  detours.reserve(aDetours.size());
  for (const auto& one : aDetours) {
    auto& detour = detours.emplace_back();
    detour.zone = one.zone.String();
    detour.address = one.address;
  }
  return detours;
}

std::vector<reach::Detour>
FromWire(std::span<const wire::UsageDetour> aDetours)
{
  std::vector<reach::Detour> detours;
  detours.reserve(aDetours.size());
  for (const auto& detour : aDetours) {
    detours.push_back({ ZoneId{ detour.zone }, detour.address });
  }
  return detours;
}

/**
 * @brief Encodes the work of other hosts.
 * @tparam Sum `usage::RemoteUsage` or `usage::FarUsage`.
 */
template<typename Sum>
wire::UsageOthers
ToWireSum(const Sum& aSum)
{
  wire::UsageOthers encoded;
  encoded.servers = ToWire(aSum.servers);
  encoded.hosts = static_cast<std::int32_t>(aSum.hosts);
  encoded.__set_suspects(ToWire(aSum.suspects));
  encoded.__set_services(ToWire(aSum.services));
  if (!aSum.detours.empty()) {
    encoded.__set_detours(ToWire(aSum.detours));
  }
  return encoded;
}

/**
 * @brief Decodes the work of other hosts.
 * @tparam Sum `usage::RemoteUsage` or `usage::FarUsage`.
 */
template<typename Sum>
Sum
FromWireSum(const wire::UsageOthers& aSum)
{
  return { FromWire(aSum.servers),
           static_cast<std::uint32_t>(aSum.hosts),
           FromWire(aSum.suspects),
           FromWire(aSum.services),
           FromWire(aSum.detours) };
}

/** @brief Fills the field of the union that belongs to a message. */
struct MessageWriter
{
  wire::UsageMessage& out;

  void operator()(const usage::LocalUsage& aMessage) const
  {
    wire::UsageOwn encoded;
    encoded.servers = ToWire(aMessage.servers);
    encoded.__set_suspects(ToWire(aMessage.suspects));
    encoded.__set_services(ToWire(aMessage.services));
    if (!aMessage.detour.empty()) {
      encoded.__set_detour(aMessage.detour);
    }
    if (aMessage.needsDetours) {
      encoded.__set_needsDetours(true);
    }
    out.__set_own(encoded);
  }
  void operator()(const usage::RemoteUsage& aMessage) const
  {
    out.__set_others(ToWireSum(aMessage));
  }
  void operator()(const usage::GroupUsage& aMessage) const
  {
    wire::UsageGroup encoded;
    encoded.zone = aMessage.zone.String();
    encoded.hosts = static_cast<std::int32_t>(aMessage.hosts);
    encoded.servers = ToWire(aMessage.servers);
    encoded.suspects = ToWire(aMessage.suspects);
    encoded.__set_services(ToWire(aMessage.services));
    if (!aMessage.detours.empty()) {
      encoded.__set_detours(ToWire(aMessage.detours));
    }
    out.__set_group(encoded);
  }
  void operator()(const usage::FarUsage& aMessage) const
  {
    out.__set_far(ToWireSum(aMessage));
  }
};

tl::expected<usage::Message, Error>
ReadMessage(const wire::UsageMessage& aMessage)
{
  if (aMessage.__isset.own) {
    return usage::LocalUsage{ FromWire(aMessage.own.servers),
                              FromWire(aMessage.own.suspects),
                              FromWire(aMessage.own.services),
                              aMessage.own.detour,
                              aMessage.own.__isset.needsDetours &&
                                aMessage.own.needsDetours };
  }
  if (aMessage.__isset.others) {
    return FromWireSum<usage::RemoteUsage>(aMessage.others);
  }
  if (aMessage.__isset.group) {
    const auto& group = aMessage.group;
    return usage::GroupUsage{ .zone = ZoneId{ group.zone },
                              .hosts = static_cast<std::uint32_t>(group.hosts),
                              .servers = FromWire(group.servers),
                              .suspects = FromWire(group.suspects),
                              .services = FromWire(group.services),
                              .detours = FromWire(group.detours) };
  }
  if (aMessage.__isset.far) {
    return FromWireSum<usage::FarUsage>(aMessage.far);
  }
  return Refuse(ErrorKind::BadRequest, "unknown message about work");
}

} // namespace

ByteVector
Encode(const usage::Message& aMessage)
{
  wire::UsageMessage message;
  std::visit(MessageWriter{ message }, aMessage);
  return ToBytes(message);
}

tl::expected<usage::Message, Error>
DecodeUsageMessage(ByteView aBytes)
{
  return FromBytes<wire::UsageMessage>(aBytes).and_then(ReadMessage);
}

} // namespace balsampoint::peer
