#include "balsampoint/peer/roster_codec.hpp"

#include "balsampoint/peer/generated/roster_types.h"
#include "balsampoint/peer/internal/change_wire.hpp"
#include "balsampoint/peer/thrift_bytes.hpp"

#include <utility>

namespace balsampoint::peer {

namespace {

namespace wire = generated;

using internal::FromWire;
using internal::ToWire;

wire::RosterClaim
ToWire(const roster::Claim& aClaim)
{
  const auto& description = aClaim.description;
  wire::RosterClaim claim;
  claim.server = aClaim.server.String();
  claim.born = ToWire(aClaim.stamp.incarnation);
  claim.sequenceNumber = static_cast<std::int64_t>(aClaim.stamp.sequence);
  claim.presence = static_cast<std::int32_t>(aClaim.presence);
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

tl::expected<roster::Claim, Error>
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
  return claim;
}

/** @brief Fills the field of the union that belongs to a message. */
struct MessageWriter
{
  wire::RosterMessage& out;

  void operator()(const roster::Subscribe& aMessage) const
  {
    wire::RosterSubscribe subscription;
    subscription.address = aMessage.address;
    subscription.hears = aMessage.isControlHost;
    subscription.source = ToWire(aMessage.source);
    subscription.have = static_cast<std::int64_t>(aMessage.receivedVersion);
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
    for (const auto& control : aMessage.controls) {
      update.controls.emplace_back();
      update.controls.back().host = control.host.String();
      update.controls.back().address = control.address;
    }
    out.__set_update(update);
  }
};

tl::expected<roster::Message, Error>
ReadUpdate(const wire::RosterUpdate& aUpdate)
{
  roster::Update update{ .source = FromWire<Incarnation>(aUpdate.source),
                         .base = static_cast<std::uint64_t>(aUpdate.base),
                         .version = static_cast<std::uint64_t>(aUpdate.version),
                         .configuration =
                           FromWire<ChangeNumber>(aUpdate.configuration) };
  for (const auto& encoded : aUpdate.claims) {
    auto claim = ReadClaim(encoded);
    if (!claim) {
      return tl::unexpected(claim.error());
    }
    update.claims.push_back(std::move(*claim));
  }
  for (const auto& control : aUpdate.controls) {
    update.controls.push_back({ HostId{ control.host }, control.address });
  }
  return update;
}

tl::expected<roster::Message, Error>
ReadMessage(const wire::RosterMessage& aMessage)
{
  if (aMessage.__isset.subscription) {
    const auto& subscription = aMessage.subscription;
    return roster::Subscribe{ .address = subscription.address,
                              .isControlHost = subscription.hears,
                              .source =
                                FromWire<Incarnation>(subscription.source),
                              .receivedVersion =
                                static_cast<std::uint64_t>(subscription.have) };
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
