#include "balsampoint/http/engine_codec.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::http;

namespace {

const stream::CallId kId{ .request = RequestId{ "r" },
                          .attempt = AttemptNumber{ 2 },
                          .step = StepNumber{ 3 },
                          .layers = { .begin = 4, .end = 8 } };

} // namespace

Test(engine_codec, keeps_all_64_bits)
{
  const stream::StepCall call{ .id = kId,
                               .model = ModelId{ "m" },
                               .version = "1",
                               .start = 0xffffffffffffffffULL,
                               .input = 1,
                               .kvDigest = 2 };
  const auto decoded = Decode<stream::StepCall>(Encode(call));
  cr_assert(decoded.has_value());
  cr_assert(decoded->id == kId);
  cr_assert_eq(decoded->start, call.start);
  const stream::ReplayReply reply{ .id = kId, .outputs = { 5, 6 } };
  cr_assert(Decode<stream::ReplayReply>(Encode(reply))->outputs ==
            reply.outputs);
}

Test(engine_codec, keeps_an_announcement)
{
  registry::Announcement announcement{ .server = ServerId{ "s" },
                                       .incarnation = Incarnation{ 9 },
                                       .address = "127.0.0.1:1",
                                       .zone = ZoneId{ "z" },
                                       .state =
                                         registry::ServerState::Leaving };
  announcement.holdings.push_back({ .model = ModelId{ "m" },
                                    .version = "1",
                                    .adapters = { "a" },
                                    .layers = { .begin = 0, .end = 4 },
                                    .modelLayers = 8 });
  const auto decoded = Decode<registry::Announcement>(Encode(announcement));
  cr_assert(decoded.has_value());
  cr_assert(*decoded == announcement);
}

Test(engine_codec, names_what_is_wrong)
{
  cr_assert_eq(Decode<stream::StepReply>("{").error().kind,
               ErrorKind::BadRequest);
  const auto missing = Decode<stream::StepReply>(R"({"output":"00"})");
  cr_assert(missing.error().detail.find("id") != std::string::npos);
  cr_assert_not(Decode<registry::Announcement>(
                  R"({"server":"s","incarnation":1,"kind":"x"})")
                  .has_value());
}
