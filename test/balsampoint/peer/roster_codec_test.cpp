#include "balsampoint/peer/roster_codec.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::peer;

namespace {

roster::Update
MakeUpdate()
{
  const roster::Claim claim{ .server = ServerId{ "s" },
                             .stamp = { Incarnation{ 7 }, 9 },
                             .presence = roster::Presence::Leaving,
                             .description = { .service = ServiceId{ "verse" },
                                              .address = "10.0.0.1:80",
                                              .zone = ZoneId{ "a" },
                                              .accelerator = "card",
                                              .layers = LayerRange{ 2, 5 },
                                              .slots = 3,
                                              .cold = true } };
  return { .source = Incarnation{ 4 },
           .zone = ZoneId{ "a" },
           .base = 3,
           .version = 8,
           .claims = { { claim, HostId{ "c1" } } },
           .controls = { { HostId{ "c1" }, "10.0.0.2:9" } },
           .relays = { { HostId{ "e1" }, "10.0.0.3:9" } },
           .configuration = ChangeNumber{ 12 } };
}

} // namespace

Test(roster_codec, messages_are_decoded_as_they_were_encoded)
{
  const roster::Subscribe subscribe{ .address = "10.0.0.4:9",
                                     .zone = ZoneId{ "a" },
                                     .role = roster::Role::Relay,
                                     .source = Incarnation{ 4 },
                                     .receivedVersion = 8,
                                     .lostRelays = { HostId{ "e7" } },
                                     .hasDisk = true };
  const roster::Referral referral{ .relays = { { HostId{ "e1" }, "x:1" } },
                                   .controls = { { HostId{ "c1" }, "x:2" } } };
  for (const roster::Message& message : { roster::Message{ subscribe },
                                          roster::Message{ MakeUpdate() },
                                          roster::Message{ referral } }) {
    const auto decoded = DecodeRosterMessage(Encode(message));
    cr_assert(decoded.has_value());
    cr_assert(*decoded == message);
  }
}

Test(roster_codec, a_message_cut_at_any_byte_is_refused)
{
  const auto bytes = Encode(roster::Message{ MakeUpdate() });
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    cr_assert_not(
      DecodeRosterMessage(ByteView{ bytes }.first(size)).has_value());
  }
}

Test(roster_codec, changed_bytes_are_decoded_or_refused_without_a_crash)
{
  auto bytes = Encode(roster::Message{ MakeUpdate() });
  for (auto& byte : bytes) {
    const auto kept = byte;
    for (const unsigned value : { 0U, 0x7FU, 0x80U, 0xFFU }) {
      byte = static_cast<std::byte>(value);
      std::ignore = DecodeRosterMessage(bytes);
    }
    byte = kept;
  }
}
