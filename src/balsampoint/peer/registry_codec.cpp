#include "balsampoint/peer/registry_codec.hpp"

#include "balsampoint/peer/generated/registry_types.h"
#include "balsampoint/peer/thrift_bytes.hpp"

#include <span>
#include <utility>
#include <vector>

namespace balsampoint::peer {

namespace {

namespace wire = generated;

std::int64_t
Signed(std::uint64_t aNumber)
{
  return static_cast<std::int64_t>(aNumber);
}

std::int32_t
Signed(std::uint32_t aNumber)
{
  return static_cast<std::int32_t>(aNumber);
}

std::uint64_t
Unsigned(std::int64_t aNumber)
{
  return static_cast<std::uint64_t>(aNumber);
}

std::uint32_t
Unsigned(std::int32_t aNumber)
{
  return static_cast<std::uint32_t>(aNumber);
}

/** Throws `Failure` for a number that the enumeration lacks. */
template<typename Enum>
Enum
ToEnum(std::int32_t aNumber, Enum aLast)
{
  if (aNumber < 0 || aNumber > static_cast<std::int32_t>(aLast)) {
    throw Failure{ MakeError(ErrorKind::BadRequest, "impossible server") };
  }
  return static_cast<Enum>(aNumber);
}

wire::RegistryLoad
ToWire(const registry::Load& aLoad)
{
  wire::RegistryLoad load;
  load.running = Signed(aLoad.runningRequests);
  load.queued = Signed(aLoad.queuedRequests);
  load.kvTokensUsed = Signed(aLoad.kvTokensUsed);
  return load;
}

registry::Load
FromWire(const wire::RegistryLoad& aLoad)
{
  return { .runningRequests = Unsigned(aLoad.running),
           .queuedRequests = Unsigned(aLoad.queued),
           .kvTokensUsed = Unsigned(aLoad.kvTokensUsed) };
}

wire::RegistryHolding
ToWire(const registry::Holding& aHolding)
{
  wire::RegistryHolding holding;
  holding.model = aHolding.model.String();
  holding.version = aHolding.version;
  holding.adapters.assign(aHolding.adapters.begin(), aHolding.adapters.end());
  holding.firstLayer = Signed(aHolding.layers.begin);
  holding.endLayer = Signed(aHolding.layers.end);
  holding.modelLayers = Signed(aHolding.modelLayers);
  return holding;
}

registry::Holding
FromWire(const wire::RegistryHolding& aHolding)
{
  return { .model = ModelId{ aHolding.model },
           .version = aHolding.version,
           .adapters{ aHolding.adapters.begin(), aHolding.adapters.end() },
           .layers = { .begin = Unsigned(aHolding.firstLayer),
                       .end = Unsigned(aHolding.endLayer) },
           .modelLayers = Unsigned(aHolding.modelLayers) };
}

wire::RegistryServer
ToWire(const registry::Announcement& aServer)
{
  wire::RegistryServer server;
  server.id = aServer.server.String();
  server.incarnation = Signed(aServer.incarnation.Value());
  server.kind = static_cast<std::int32_t>(aServer.kind);
  server.address = aServer.address;
  server.zone = aServer.zone.String();
  server.acceleratorKind = aServer.acceleratorKind;
  server.layerTokensPerSecond = aServer.layerTokensPerSecond;
  for (const auto& holding : aServer.holdings) {
    server.holdings.push_back(ToWire(holding));
  }
  server.serviceId = aServer.service.String();
  server.kvCapacityTokens = Signed(aServer.kvCapacityTokens);
  server.state = static_cast<std::int32_t>(aServer.state);
  server.load = ToWire(aServer.load);
  server.checksFencing = aServer.checksFencing;
  return server;
}

registry::Announcement
FromWire(const wire::RegistryServer& aServer)
{
  registry::Announcement server{
    .server = ServerId{ aServer.id },
    .incarnation = Incarnation{ Unsigned(aServer.incarnation) },
    .kind = ToEnum(aServer.kind, registry::ServerKind::PlainService),
    .address = aServer.address,
    .zone = ZoneId{ aServer.zone },
    .acceleratorKind = aServer.acceleratorKind,
    .layerTokensPerSecond = aServer.layerTokensPerSecond,
    .service = ServiceId{ aServer.serviceId },
    .kvCapacityTokens = Unsigned(aServer.kvCapacityTokens),
    .state = ToEnum(aServer.state, registry::ServerState::Leaving),
    .load = FromWire(aServer.load),
    .checksFencing = aServer.checksFencing
  };
  for (const auto& holding : aServer.holdings) {
    server.holdings.push_back(FromWire(holding));
  }
  return server;
}

wire::RegistryClaim
ToWire(const registry::Claim& aClaim)
{
  wire::RegistryClaim claim;
  claim.incarnation = Signed(aClaim.stamp.incarnation.Value());
  claim.version = Signed(aClaim.stamp.version);
  claim.live = aClaim.live;
  claim.owner = aClaim.owner.String();
  return claim;
}

registry::Claim
FromWire(const wire::RegistryClaim& aClaim)
{
  return { .stamp = { .incarnation =
                        Incarnation{ Unsigned(aClaim.incarnation) },
                      .version = Unsigned(aClaim.version) },
           .live = aClaim.live,
           .owner = HostId{ aClaim.owner } };
}

std::vector<wire::RegistryLoadReport>
ToWire(std::span<const registry::LoadReport> aReports)
{
  std::vector<wire::RegistryLoadReport> reports;
  for (const auto& report : aReports) {
    auto& added = reports.emplace_back();
    added.server = report.server.String();
    added.incarnation = Signed(report.incarnation.Value());
    added.load = ToWire(report.load);
  }
  return reports;
}

std::vector<registry::LoadReport>
FromWire(std::span<const wire::RegistryLoadReport> aReports)
{
  std::vector<registry::LoadReport> reports;
  for (const auto& report : aReports) {
    reports.push_back(
      { .server = ServerId{ report.server },
        .incarnation = Incarnation{ Unsigned(report.incarnation) },
        .load = FromWire(report.load) });
  }
  return reports;
}

wire::RegistryStage
ToWire(const registry::StageSummary& aStage)
{
  wire::RegistryStage stage;
  stage.model = aStage.model.String();
  stage.version = aStage.version;
  stage.adapters.assign(aStage.adapters.begin(), aStage.adapters.end());
  stage.firstLayer = Signed(aStage.layers.begin);
  stage.endLayer = Signed(aStage.layers.end);
  stage.servers = Signed(aStage.servers);
  stage.layerTokensPerSecond = aStage.layerTokensPerSecond;
  stage.kvTokensFree = Signed(aStage.kvTokensFree);
  stage.queued = Signed(aStage.queuedRequests);
  return stage;
}

registry::StageSummary
FromWire(const wire::RegistryStage& aStage)
{
  return { .model = ModelId{ aStage.model },
           .version = aStage.version,
           .adapters{ aStage.adapters.begin(), aStage.adapters.end() },
           .layers = { .begin = Unsigned(aStage.firstLayer),
                       .end = Unsigned(aStage.endLayer) },
           .servers = Unsigned(aStage.servers),
           .layerTokensPerSecond = aStage.layerTokensPerSecond,
           .kvTokensFree = Unsigned(aStage.kvTokensFree),
           .queuedRequests = Unsigned(aStage.queued) };
}

registry::Summary
FromWire(const wire::RegistrySummary& aSummary)
{
  registry::Summary summary{ .summary = { .zone = ZoneId{ aSummary.zone },
                                          .number = Unsigned(aSummary.number) },
                             .relay = aSummary.relay };
  for (const auto& stage : aSummary.stages) {
    summary.summary.stages.push_back(FromWire(stage));
  }
  for (const auto& service : aSummary.services) {
    summary.summary.services.push_back(
      { .service = ServiceId{ service.serviceId },
        .servers = Unsigned(service.servers) });
  }
  return summary;
}

/** @brief Fills the field of the union that belongs to a message. */
struct MessageWriter
{
  wire::RegistryMessage& out;

  void operator()(const registry::Delta& aDelta) const
  {
    wire::RegistryDelta delta;
    for (const auto& entry : aDelta.entries) {
      auto& added = delta.entries.emplace_back();
      added.server = ToWire(entry.announcement);
      added.claim = ToWire(entry.claim);
    }
    out.__set_delta(delta);
  }
  void operator()(const registry::Loads& aLoads) const
  {
    wire::RegistryLoads loads;
    loads.reports = ToWire(aLoads.reports);
    out.__set_loads(loads);
  }
  void operator()(const registry::Renewals& aRenewals) const
  {
    wire::RegistryRenewals renewals;
    renewals.reports = ToWire(aRenewals.reports);
    out.__set_renewals(renewals);
  }
  void operator()(const registry::Digest& aDigest) const
  {
    wire::RegistryDigest digest;
    digest.hash = Signed(aDigest.hash);
    for (const auto& host : aDigest.overdueHosts) {
      digest.doubted.push_back(host.String());
    }
    out.__set_digest(digest);
  }
  void operator()(const registry::Versions& aVersions) const
  {
    wire::RegistryVersions versions;
    for (const auto& version : aVersions.versions) {
      auto& added = versions.versions.emplace_back();
      added.server = version.server.String();
      added.claim = ToWire(version.claim);
    }
    out.__set_versions(versions);
  }
  void operator()(const registry::Request& aRequest) const
  {
    wire::RegistryRequest request;
    for (const auto& server : aRequest.servers) {
      request.servers.push_back(server.String());
    }
    out.__set_request(request);
  }
  void operator()(const registry::Summary& aSummary) const
  {
    wire::RegistrySummary summary;
    summary.zone = aSummary.summary.zone.String();
    summary.number = Signed(aSummary.summary.number);
    summary.relay = aSummary.relay;
    for (const auto& stage : aSummary.summary.stages) {
      summary.stages.push_back(ToWire(stage));
    }
    for (const auto& service : aSummary.summary.services) {
      auto& added = summary.services.emplace_back();
      added.serviceId = service.service.String();
      added.servers = Signed(service.servers);
    }
    out.__set_summary(summary);
  }
  void operator()(const registry::Contacts& aContacts) const
  {
    wire::RegistryContacts contacts;
    for (const auto& contact : aContacts.contacts) {
      auto& added = contacts.contacts.emplace_back();
      added.host = contact.host.String();
      added.age = contact.age.count();
    }
    out.__set_contacts(contacts);
  }
};

registry::Delta
FromWire(const wire::RegistryDelta& aDelta)
{
  registry::Delta delta;
  for (const auto& entry : aDelta.entries) {
    delta.entries.push_back({ .announcement = FromWire(entry.server),
                              .claim = FromWire(entry.claim) });
  }
  return delta;
}

registry::Versions
FromWire(const wire::RegistryVersions& aVersions)
{
  registry::Versions versions;
  for (const auto& version : aVersions.versions) {
    versions.versions.push_back({ .server = ServerId{ version.server },
                                  .claim = FromWire(version.claim) });
  }
  return versions;
}

registry::Digest
FromWire(const wire::RegistryDigest& aDigest)
{
  registry::Digest digest{ .hash = Unsigned(aDigest.hash) };
  for (const auto& host : aDigest.doubted) {
    digest.overdueHosts.emplace_back(host);
  }
  return digest;
}

registry::Contacts
FromWire(const wire::RegistryContacts& aContacts)
{
  registry::Contacts contacts;
  for (const auto& contact : aContacts.contacts) {
    if (contact.age < 0) {
      throw Failure{ MakeError(ErrorKind::BadRequest, "negative age") };
    }
    contacts.contacts.push_back(
      { .host = HostId{ contact.host }, .age = Duration{ contact.age } });
  }
  return contacts;
}

registry::Message
ReadMessage(const wire::RegistryMessage& aMessage)
{
  const auto& set = aMessage.__isset;
  if (set.delta) {
    return FromWire(aMessage.delta);
  }
  if (set.loads) {
    return registry::Loads{ .reports = FromWire(aMessage.loads.reports) };
  }
  if (set.renewals) {
    return registry::Renewals{ .reports = FromWire(aMessage.renewals.reports) };
  }
  if (set.digest) {
    return FromWire(aMessage.digest);
  }
  if (set.versions) {
    return FromWire(aMessage.versions);
  }
  if (set.request) {
    registry::Request request;
    for (const auto& server : aMessage.request.servers) {
      request.servers.emplace_back(server);
    }
    return request;
  }
  if (set.summary) {
    return FromWire(aMessage.summary);
  }
  if (set.contacts) {
    return FromWire(aMessage.contacts);
  }
  throw Failure{ MakeError(ErrorKind::BadRequest, "unknown message") };
}

} // namespace

ByteVector
Encode(const registry::Message& aMessage)
{
  wire::RegistryMessage message;
  std::visit(MessageWriter{ message }, aMessage);
  return ToBytes(message);
}

tl::expected<registry::Message, Error>
DecodeRegistryMessage(ByteView aBytes)
{
  const auto decoded = FromBytes<wire::RegistryMessage>(aBytes);
  if (!decoded) {
    return tl::unexpected(decoded.error());
  }
  try {
    return ReadMessage(*decoded);
  } catch (const Failure& failure) {
    return tl::unexpected(failure.Cause());
  }
}

} // namespace balsampoint::peer
