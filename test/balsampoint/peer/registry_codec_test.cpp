#include "balsampoint/peer/member_codec.hpp"
#include "balsampoint/peer/registry_codec.hpp"

#include "../registry/announcements.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;

namespace {

template<typename Message, typename Decoder>
void
CheckRoundTrip(const Message& aMessage, Decoder aDecode)
{
  const auto bytes = peer::Encode(aMessage);
  const auto decoded = aDecode(bytes);
  cr_assert(decoded.has_value());
  cr_assert_eq(decoded->index(), aMessage.index());
  cr_assert(peer::Encode(*decoded) == bytes);
}

registry::Claim
SomeClaim()
{
  return { .stamp = { .incarnation = Incarnation{ 3 }, .version = 4 },
           .live = true,
           .owner = HostId{ "h1" } };
}

} // namespace

Test(registry_codec, brings_every_message_back)
{
  const auto decode = peer::DecodeRegistryMessage;
  const registry::LoadReport report{
    .server = ServerId{ "s1" },
    .incarnation = Incarnation{ 3 },
    .load = { .runningRequests = 1, .queuedRequests = 2, .kvTokensUsed = 3 }
  };
  const registry::Entry entry{ .announcement = registry::Engine("s1"),
                               .claim = SomeClaim() };
  const std::vector<registry::Message> messages{
    registry::Delta{ { entry } },
    registry::Loads{ { report } },
    registry::Renewals{ { report } },
    registry::Digest{ 0xFFFFFFFFFFFFFFFFULL, { HostId{ "h2" } } },
    registry::Contacts{ { { HostId{ "h2" }, Duration{ 5 } } } },
    registry::Versions{ { { ServerId{ "s1" }, SomeClaim() } } },
    registry::Request{ { ServerId{ "s1" } } },
    registry::Summary{ { .zone = ZoneId{ "z" },
                         .number = 7,
                         .stages = { { .model = ModelId{ "m" },
                                       .version = "1",
                                       .adapters = { "a" },
                                       .layers = { 0, 4 },
                                       .servers = 2 } },
                         .services = { { ServiceId{ "desk" }, 3 } } },
                       true }
  };
  for (const auto& message : messages) {
    CheckRoundTrip(message, decode);
  }
  const auto delta =
    decode(peer::Encode(registry::Message{ registry::Delta{ { entry } } }));
  cr_assert(std::get<registry::Delta>(*delta).entries.front() == entry);
}

Test(registry_codec, refuses_what_no_host_sends)
{
  cr_assert_not(peer::DecodeRegistryMessage({}).has_value());
  cr_assert_not(peer::DecodeMemberMessage({}).has_value());
  auto broken = registry::Engine("s1");
  broken.state = static_cast<registry::ServerState>(9);
  const registry::Message message{ registry::Delta{ { { broken, {} } } } };
  cr_assert_not(peer::DecodeRegistryMessage(peer::Encode(message)).has_value());
}

Test(member_codec, brings_every_message_back)
{
  const member::Host host{ .id = HostId{ "h1" },
                           .zone = ZoneId{ "z" },
                           .region = RegionId{ "r" },
                           .address = "127.0.0.1:7000",
                           .incarnation = Incarnation{ 5 },
                           .revision = 6,
                           .state = member::HostState::Suspect };
  const std::vector<member::Message> messages{
    member::Ping{ 1, HostId{ "h2" }, { host } },
    member::PingRequest{ 2, HostId{ "h3" }, { host } },
    member::Ack{ 3, HostId{ "h2" }, {} },
    member::Join{ host },
    member::Sync{ { host, host }, true },
    member::Digest{ 9 },
    member::Updates{ { host } }
  };
  for (const auto& message : messages) {
    CheckRoundTrip(message, peer::DecodeMemberMessage);
  }
  const auto join = peer::DecodeMemberMessage(
    peer::Encode(member::Message{ member::Join{ host } }));
  cr_assert(std::get<member::Join>(*join).host == host);
}
