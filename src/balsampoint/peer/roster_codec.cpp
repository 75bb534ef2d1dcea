#include "balsampoint/peer/roster_codec.hpp"

#include "balsampoint/peer/generated/roster_types.h"
#include "balsampoint/peer/internal/change_wire.hpp"
#include "balsampoint/peer/thrift_bytes.hpp"

#include <span>
#include <utility>

namespace balsampoint::peer {

namespace {

namespace wire = generated;

using internal::FromWire;
using internal::ToWire;

wire::RosterClaim
ToWire(const roster::OwnedClaim& aOwned)
{
  const auto& stated = aOwned.claim;
  const auto& description = stated.description;
  wire::RosterClaim claim;
  claim.__set_owner(aOwned.owner.String());
  claim.server = stated.server.String();
  claim.born = ToWire(stated.stamp.incarnation);
  claim.sequenceNumber = static_cast<std::int64_t>(stated.stamp.sequence);
  claim.presence = static_cast<std::int32_t>(stated.presence);
  claim.serviceId = description.service.String();
  claim.address = description.address;
  claim.zone = description.zone.String();
  claim.accelerator = description.accelerator;
  claim.model = description.model.String();
  claim.modelVersion = description.modelVersion;
  if (description.layers) {
    claim.__set_firstLayer(
      static_cast<std::int32_t>(description.layers->begin));
    claim.__set_endLayer(static_cast<std::int32_t>(description.layers->end));
  }
  claim.slots = static_cast<std::int32_t>(description.slots);
  claim.cold = description.cold;
  return claim;
}

std::vector<wire::RosterControlHost>
ToWire(std::span<const roster::HostAddress> aHosts)
{
  std::vector<wire::RosterControlHost> hosts;
  hosts.reserve(aHosts.size());
  for (const auto& [host, address] : aHosts) {
    auto& encoded = hosts.emplace_back();
    encoded.host = host.String();
    encoded.address = address;
  }
  return hosts;
}

std::vector<roster::HostAddress>
ReadHosts(std::span<const wire::RosterControlHost> aHosts)
{
  std::vector<roster::HostAddress> hosts;
  hosts.reserve(aHosts.size());
  for (const auto& encoded : aHosts) {
    hosts.push_back({ HostId{ encoded.host }, encoded.address });
  }
  return hosts;
}

tl::expected<roster::OwnedClaim, Error>
ReadClaim(const wire::RosterClaim& aClaim)
{
  constexpr auto kLast = static_cast<std::int32_t>(roster::Presence::Gone);
  if (aClaim.presence < 0 || aClaim.presence > kLast) {
    return Refuse(ErrorKind::BadRequest, "unknown presence of a server");
  }
  roster::Claim claim{
    .server = ServerId{ aClaim.server },
    .stamp = { FromWire<Incarnation>(aClaim.born),
               static_cast<std::uint64_t>(aClaim.sequenceNumber) },
    .presence = static_cast<roster::Presence>(aClaim.presence),
    .description = { .service = ServiceId{ aClaim.serviceId },
                     .address = aClaim.address,
                     .zone = ZoneId{ aClaim.zone },
                     .accelerator = aClaim.accelerator,
                     .model = ModelId{ aClaim.model },
                     .modelVersion = aClaim.modelVersion,
                     .slots = static_cast<std::uint32_t>(aClaim.slots),
                     .cold = aClaim.cold }
  };
  if (aClaim.__isset.firstLayer && aClaim.__isset.endLayer) {
    claim.description.layers =
      LayerRange{ static_cast<std::uint32_t>(aClaim.firstLayer),
                  static_cast<std::uint32_t>(aClaim.endLayer) };
  }
  return roster::OwnedClaim{ std::move(claim), HostId{ aClaim.owner } };
}

/** @brief Fills the field of the union that belongs to a message. */
struct MessageWriter
{
  wire::RosterMessage& out;

  void operator()(const roster::Subscribe& aMessage) const
  {
    wire::RosterSubscribe subscription;
    subscription.address = aMessage.address;
    subscription.hears = aMessage.role == roster::Role::Control;
    subscription.__set_zone(aMessage.zone.String());
    subscription.__set_role(static_cast<std::int32_t>(aMessage.role));
    subscription.source = ToWire(aMessage.source);
    subscription.have = static_cast<std::int64_t>(aMessage.receivedVersion);
    if (!aMessage.lostRelays.empty()) {
      std::vector<std::string> lost;
      lost.reserve(aMessage.lostRelays.size());
      for (const auto& relay : aMessage.lostRelays) {
        lost.push_back(relay.String());
      }
      subscription.__set_lostRelays(lost);
    }
    subscription.__set_hasDisk(aMessage.hasDisk);
    out.__set_subscription(subscription);
  }
  void operator()(const roster::Update& aMessage) const
  {
    wire::RosterUpdate update;
    update.source = ToWire(aMessage.source);
    update.base = static_cast<std::int64_t>(aMessage.base);
    update.version = static_cast<std::int64_t>(aMessage.version);
    update.configuration = ToWire(aMessage.configuration);
    for (const auto& claim : aMessage.claims) {
      update.claims.push_back(ToWire(claim));
    }
    update.controls = ToWire(aMessage.controls);
    update.__set_relays(ToWire(aMessage.relays));
    update.__set_zone(aMessage.zone.String());
    out.__set_update(update);
  }
  void operator()(const roster::Referral& aMessage) const
  {
    wire::RosterReferral referral;
    referral.relays = ToWire(aMessage.relays);
    referral.controls = ToWire(aMessage.controls);
    out.__set_referral(referral);
  }
};

tl::expected<roster::Message, Error>
ReadUpdate(const wire::RosterUpdate& aUpdate)
{
  roster::Update update{ .source = FromWire<Incarnation>(aUpdate.source),
                         .zone = ZoneId{ aUpdate.zone },
                         .base = static_cast<std::uint64_t>(aUpdate.base),
                         .version = static_cast<std::uint64_t>(aUpdate.version),
                         .controls = ReadHosts(aUpdate.controls),
                         .relays = ReadHosts(aUpdate.relays),
                         .configuration =
                           FromWire<ChangeNumber>(aUpdate.configuration) };
  for (const auto& encoded : aUpdate.claims) {
    auto claim = ReadClaim(encoded);
    if (!claim) {
      return tl::unexpected(claim.error());
    }
    update.claims.push_back(std::move(*claim));
  }
  return update;
}

tl::expected<roster::Message, Error>
ReadSubscription(const wire::RosterSubscribe& aSubscription)
{
  constexpr auto kLast = static_cast<std::int32_t>(roster::Role::Control);
  auto role = aSubscription.hears ? roster::Role::Control : roster::Role::Entry;
  if (aSubscription.__isset.role) {
    if (aSubscription.role < 0 || aSubscription.role > kLast) {
      return Refuse(ErrorKind::BadRequest, "unknown role of a host");
    }
    role = static_cast<roster::Role>(aSubscription.role);
  }
  std::vector<HostId> lostRelays;
  lostRelays.reserve(aSubscription.lostRelays.size());
  for (const auto& relay : aSubscription.lostRelays) {
    lostRelays.emplace_back(relay);
  }
  return roster::Subscribe{ .address = aSubscription.address,
                            .zone = ZoneId{ aSubscription.zone },
                            .role = role,
                            .source =
                              FromWire<Incarnation>(aSubscription.source),
                            .receivedVersion =
                              static_cast<std::uint64_t>(aSubscription.have),
                            .lostRelays = std::move(lostRelays),
                            .hasDisk = aSubscription.hasDisk };
}

tl::expected<roster::Message, Error>
ReadMessage(const wire::RosterMessage& aMessage)
{
  if (aMessage.__isset.subscription) {
    return ReadSubscription(aMessage.subscription);
  }
  if (aMessage.__isset.referral) {
    return roster::Referral{ .relays = ReadHosts(aMessage.referral.relays),
                             .controls =
                               ReadHosts(aMessage.referral.controls) };
  }
  if (aMessage.__isset.update) {
    return ReadUpdate(aMessage.update);
  }
  return Refuse(ErrorKind::BadRequest, "unknown message of the roster");
}

} // namespace

ByteVector
Encode(const roster::Message& aMessage)
{
  wire::RosterMessage message;
  std::visit(MessageWriter{ message }, aMessage);
  return ToBytes(message);
}

tl::expected<roster::Message, Error>
DecodeRosterMessage(ByteView aBytes)
{
  return FromBytes<wire::RosterMessage>(aBytes).and_then(ReadMessage);
}

} // namespace balsampoint::peer
