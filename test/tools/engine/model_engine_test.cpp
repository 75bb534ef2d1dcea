#include "engine/model_engine.hpp"

#include "balsampoint/stream/tokenizer.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::engine;

namespace {

Holdings
Whole()
{
  return { .model = ModelId{ "m" },
           .version = "1",
           .layers = { .begin = 0, .end = 2 } };
}

stream::StepCall
CallAt(std::uint64_t aStep, std::uint64_t aDigest)
{
  return { .id = { .request = RequestId{ "r" },
                   .step = StepNumber{ aStep },
                   .layers = { .begin = 0, .end = 2 } },
           .model = ModelId{ "m" },
           .version = "1",
           .start = 7,
           .input = 7,
           .kvDigest = aDigest };
}

} // namespace

Test(model_engine, a_step_run_twice_gives_another_output)
{
  ModelEngine engine{ Whole() };
  const auto first = engine.Step(CallAt(0, stream::kEmptyKvDigest));
  const auto second = engine.Step(CallAt(0, stream::kEmptyKvDigest));
  cr_assert_neq(first->output, second->output);
}

Test(model_engine, a_replayed_kv_is_as_good_as_a_grown_one)
{
  ModelEngine grown{ Whole() };
  cr_assert(grown.Step(CallAt(0, stream::kEmptyKvDigest)).has_value());
  const auto digest = stream::ExtendKvDigest(stream::kEmptyKvDigest, 7);
  const auto expected = grown.Step(CallAt(1, digest));
  ModelEngine replayed{ Whole() };
  const stream::ReplayCall replay{ .id = CallAt(1, 0).id,
                                   .model = ModelId{ "m" },
                                   .version = "1",
                                   .positions = { { 7, 7 } } };
  cr_assert(replayed.Replay(replay).has_value());
  cr_assert_eq(replayed.Step(CallAt(1, digest))->output, expected->output);
  ModelEngine imported{ Whole() };
  const stream::ImportCall call{ .id = CallAt(1, 0).id,
                                 .model = ModelId{ "m" },
                                 .version = "1",
                                 .kvDigest = digest };
  cr_assert_not(imported.Import(call, grown.Export(RequestId{ "r" })));
  ModelEngine early{ Whole() };
  cr_assert(early.Step(CallAt(0, stream::kEmptyKvDigest)).has_value());
  cr_assert(imported.Import(call, early.Export(RequestId{ "r" })).has_value());
  cr_assert_eq(imported.Step(CallAt(1, digest))->output, expected->output);
}

Test(model_engine, refuses_layers_and_versions_it_does_not_hold)
{
  ModelEngine engine{ Whole() };
  auto call = CallAt(0, stream::kEmptyKvDigest);
  call.id.layers.end = 3;
  cr_assert_eq(engine.Step(call).error().kind, ErrorKind::NoServer);
  call = CallAt(0, stream::kEmptyKvDigest);
  call.version = "2";
  cr_assert_eq(engine.Step(call).error().kind, ErrorKind::NoServer);
}

Test(model_engine, a_call_of_an_older_attempt_is_refused)
{
  ModelEngine engine{ Whole() };
  auto call = CallAt(0, stream::kEmptyKvDigest);
  call.id.attempt = AttemptNumber{ 2 };
  cr_assert(engine.Step(call).has_value());
  call.id.attempt = AttemptNumber{ 1 };
  cr_assert_eq(engine.Step(call).error().kind, ErrorKind::Conflict);
}
