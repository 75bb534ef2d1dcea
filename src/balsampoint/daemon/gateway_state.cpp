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
/** Part of the host's memory that connections may hold: the rest is for the
 * program, the control state, copies while buffers grow and the kernel. */
constexpr double kConnectionMemory = 0.4;
/** Part of that which is reserved for small holders. */
constexpr std::uint64_t kReserveDivisor = 2;
/** Bounds of a small holder: most requests fit into the least one. */
constexpr std::uint64_t kLeastSmallBytes = std::uint64_t{ 32 } * 1024;
constexpr std::uint64_t kMostSmallBytes = std::uint64_t{ 64 } * 1024;
/** Part of the host's memory for the kernel's receive buffers of all
 * connections, and bounds of one of them: the most is the kernel's default. */
constexpr std::uint64_t kSocketMemoryDivisor = 8;
constexpr std::uint64_t kLeastSocketBytes = std::uint64_t{ 32 } * 1024;
constexpr std::uint64_t kMostSocketBytes = std::uint64_t{ 128 } * 1024;
/** Part of the host's memory that a configuration may take. */
constexpr std::uint64_t kConfigurationDivisor = 16;
constexpr std::uint64_t kLeastConfigurationBytes = 4 * kBytesPerMb;
/** Part of the host's memory for incomplete calls of other hosts, of which the
 * largest must fit. */
constexpr std::uint64_t kPeerMemoryDivisor = 8;
constexpr std::uint64_t kLeastPeerBytes = 17 * kBytesPerMb;
constexpr std::size_t kMaxControlConnections = 2000;
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

std::uint64_t
MemoryOf(const config::GatewaySettings& aSettings)
{
  return aSettings.limits.memoryMb * kBytesPerMb;
}

/** Connections that others may open to this host. */
std::size_t
MaxConnections(const config::GatewaySettings& aSettings)
{
  const auto callers =
    aSettings.listen.callers
      ? MaxCallers(aSettings) + 2 * MaxDetourConnections(aSettings)
      : 0;
  return std::max(std::size_t{ 1 }, callers + MaxControlConnections(aSettings));
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

memory::Settings
MemorySettingsOf(const config::GatewaySettings& aSettings)
{
  memory::Settings settings;
  settings.budgetBytes = static_cast<std::uint64_t>(
    kConnectionMemory * static_cast<double>(MemoryOf(aSettings)));
  settings.reservedBytes = settings.budgetBytes / kReserveDivisor;
  settings.smallBytes =
    std::clamp(settings.reservedBytes / MaxConnections(aSettings),
               kLeastSmallBytes,
               kMostSmallBytes);
  return settings;
}

std::size_t
SocketBytesOf(const config::GatewaySettings& aSettings)
{
  return std::clamp(MemoryOf(aSettings) / kSocketMemoryDivisor /
                      MaxConnections(aSettings),
                    kLeastSocketBytes,
                    kMostSocketBytes);
}

std::size_t
PeerBytesOf(const config::GatewaySettings& aSettings)
{
  return std::max(MemoryOf(aSettings) / kPeerMemoryDivisor, kLeastPeerBytes);
}

edge::CallerConnectionLimits
CallerLimitsOf(const config::GatewaySettings& aSettings,
               edge::MemoryAccount* aMemory)
{
  edge::CallerConnectionLimits limits;
  limits.bodyTimeout = aSettings.limits.bodyTimeout;
  limits.bodyRate = aSettings.limits.bodyRate;
  limits.memory = aMemory;
  return limits;
}

edge::CallerConnectionLimits
ControlLimitsOf(const config::GatewaySettings& aSettings,
                edge::MemoryAccount* aMemory)
{
  auto limits = CallerLimitsOf(aSettings, aMemory);
  limits.message.bodyBytes =
    std::min(limits.message.bodyBytes,
             std::max(MemoryOf(aSettings) / kConfigurationDivisor,
                      kLeastConfigurationBytes));
  return limits;
}

edge::ServerConnectionLimits
ServerLimitsOf(const config::GatewaySettings& aSettings,
               edge::MemoryAccount* aMemory)
{
  edge::ServerConnectionLimits limits;
  limits.memory = aMemory;
  limits.message.bodyBytes = MemoryOf(aSettings) / kResponseMemoryDivisor;
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
MaxControlConnections(const config::GatewaySettings& aSettings)
{
  return aSettings.listen.control
           ? std::min(kMaxControlConnections, UsableDescriptors(aSettings))
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
