#include "balsampoint/daemon/gateway_state.hpp"

#include "balsampoint/daemon/compressed_text.hpp"
#include "balsampoint/daemon/digest.hpp"

#include <algorithm>
#include <chrono>

namespace balsampoint::daemon {

namespace {

/** Configurations are large and few, and the disk is small. */
constexpr std::uint64_t kCompactAfter = 24;
constexpr std::uint64_t kKeptBehind = 8;
/** Part of `control_catch_up` for which a voter may be without contact; the
 * rest is for its successor to be known and to copy the log. */
constexpr std::int64_t kReplaceTimeoutDivisor = 2;
/** Heartbeats that a server may miss before it counts as silent. */
constexpr double kMissedHeartbeats = 3.0;
/** Twice the part of failed attempts that are streams in mid-answer, by the
 * logs of 2026-12-04; they come in bursts. */
constexpr double kKeptForResumes = 0.2;
constexpr std::uint64_t kBytesPerMb = std::uint64_t{ 1024 } * 1024;
/** Part of the host's memory that one response may take; several servers may
 * send bytes without end at the same time. */
constexpr std::uint64_t kResponseMemoryDivisor = 32;
/** Descriptors kept free for peers, servers and files. */
constexpr std::size_t kReservedDescriptors = 400;
/** Connections for other hosts take twice this part of the descriptors. */
constexpr std::size_t kDetourDivisor = 16;

std::size_t
UsableDescriptors(const config::GatewaySettings& aSettings)
{
  const auto descriptors = std::size_t{ aSettings.limits.descriptors };
  return descriptors > 2 * kReservedDescriptors
           ? descriptors - kReservedDescriptors
           : descriptors / 2;
}

std::string
PeerAddress(const std::string& aIp, const config::GatewaySettings& aSettings)
{
  return config::Address{ aIp, aSettings.listen.PeersAsTold().port }.Text();
}

} // namespace

config::Settings
ControlSettingsOf(const config::GatewaySettings& aSettings)
{
  config::Settings settings;
  settings.cluster = aSettings.cluster;
  settings.host = aSettings.host;
  settings.region = aSettings.region;
  settings.zone = aSettings.zone;
  settings.listen.peers = aSettings.listen.PeersAsTold();
  settings.dataFolder = aSettings.dataFolder;
  settings.secret = aSettings.secret;
  for (const auto& seed : aSettings.seeds) {
    const HostId host{ seed.ip };
    const bool known =
      std::ranges::any_of(settings.seeds, [&](const config::Seed& aSeed) {
        return aSeed.host == host;
      });
    if (!known) {
      settings.seeds.push_back(
        { .host = host,
          .zone = host == aSettings.host ? aSettings.zone : ZoneId{},
          .address = { seed.ip, aSettings.listen.PeersAsTold().port } });
    }
  }
  const bool isSeed =
    std::ranges::any_of(settings.seeds, [&](const config::Seed& aSeed) {
      return aSeed.host == aSettings.host;
    });
  settings.voter = aSettings.listen.control && aSettings.firstStart && isSeed;
  return settings;
}

ControlTuning
TuningOf(const config::GatewaySettings& aSettings,
         const peer::Identity& aIdentity)
{
  ControlTuning tuning;
  tuning.ownInterface = false;
  tuning.consensus.snapshotAfterEntries = kCompactAfter;
  tuning.consensus.retainedEntries = kKeptBehind;
  tuning.consensus.replaceTimeout =
    aSettings.controlCatchUp / kReplaceTimeoutDivisor;
  tuning.consensus.targetMembers = 2 * aSettings.controlLosses + 1;
  auto& roster = tuning.roster;
  roster.self = aSettings.host;
  roster.zone = aSettings.zone;
  roster.incarnation = aIdentity.incarnation;
  roster.address = aSettings.listen.PeersAsTold().Text();
  roster.isControlHost = aSettings.listen.control.has_value();
  roster.hasDisk = roster.isControlHost && aSettings.dataFolder.has_value();
  roster.heartbeatTimeout = std::chrono::duration_cast<Duration>(
    aSettings.heartbeat * kMissedHeartbeats);
  roster.departureCopies = std::size_t{ aSettings.controlLosses } + 1;
  for (const auto& seed : aSettings.seeds) {
    roster.seeds.push_back(
      { HostId{ seed.ip }, PeerAddress(seed.ip, aSettings) });
  }
  return tuning;
}

std::vector<roster::HostAddress>
MemberAddresses(const config::GatewaySettings& aSettings,
                const consensus::Membership& aMembers)
{
  std::vector<roster::HostAddress> addresses;
  for (const auto& member : aMembers.members) {
    if (member.host == aSettings.host) {
      continue;
    }
    addresses.push_back(
      { member.host, PeerAddress(member.host.String(), aSettings) });
  }
  return addresses;
}

forward::RetryAllowance
AllowanceOf(const config::GatewaySettings& aSettings)
{
  return { .ratio = aSettings.retry.ratio,
           .extra = aSettings.retry.extra,
           .reservedForResumes = kKeptForResumes,
           .window = aSettings.retry.window };
}

edge::ServerConnectionLimits
ServerLimitsOf(const config::GatewaySettings& aSettings)
{
  edge::ServerConnectionLimits limits;
  limits.message.bodyBytes =
    aSettings.limits.memoryMb * kBytesPerMb / kResponseMemoryDivisor;
  return limits;
}

std::size_t
MaxDetourConnections(const config::GatewaySettings& aSettings)
{
  return aSettings.listen.detours
           ? UsableDescriptors(aSettings) / kDetourDivisor
           : 0;
}

std::size_t
MaxCallers(const config::GatewaySettings& aSettings)
{
  // A detour takes two descriptors, as a caller with its server does.
  return UsableDescriptors(aSettings) / 2 - MaxDetourConnections(aSettings);
}

change::Change
ChangeOf(ChangeNumber aNumber, std::string_view aText)
{
  const auto digest = Sha256({ aText });
  return { .number = aNumber,
           .id = ChangeId{ std::to_string(aNumber.Value()) + "-" + digest },
           .digest = digest,
           .whole = true,
           .delta = { .upserts = { { kWholeText, Compress(aText) } } },
           .numbering = change::Numbering::Increasing };
}

tl::expected<std::string, Error>
TextOf(const change::Sections& aSections)
{
  const auto packed = aSections.find(kWholeText);
  if (packed == aSections.end()) {
    return Refuse(ErrorKind::InvalidConfiguration, "the text is missing");
  }
  return Decompress(packed->second);
}

} // namespace balsampoint::daemon
