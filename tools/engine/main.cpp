#include "balsampoint/http/engine_codec.hpp"
#include "balsampoint/http/listener.hpp"
#include "balsampoint/runtime/mailbox.hpp"
#include "engine/announcer.hpp"
#include "engine/handler.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <chrono>
#include <csignal>
#include <spdlog/spdlog.h>

ABSL_FLAG(std::string, id, "engine-1", "Id of this server.");
ABSL_FLAG(std::string, listen, "127.0.0.1:9000", "IP number and port.");
ABSL_FLAG(std::string, zone, "", "Availability zone.");
ABSL_FLAG(std::vector<std::string>,
          announce,
          {},
          "Server listeners of the zone's hosts, comma-separated.");
ABSL_FLAG(std::string, kind, "engine", "'engine' or 'service'.");
ABSL_FLAG(std::string, service, "", "Service a plain server belongs to.");
ABSL_FLAG(std::string, model, "", "Model an engine holds.");
ABSL_FLAG(std::string, version, "1", "Version of the model.");
ABSL_FLAG(std::vector<std::string>, adapters, {}, "Adapters held.");
ABSL_FLAG(std::uint32_t, layer_begin, 0, "First layer held.");
ABSL_FLAG(std::uint32_t, layer_end, 1, "One past the last layer held.");
ABSL_FLAG(std::uint32_t, model_layers, 1, "Layers of the whole model.");
ABSL_FLAG(std::string, accelerator, "generic", "Kind of accelerator.");
ABSL_FLAG(std::uint32_t, overhead_us, 200, "Cost of an iteration in us.");
ABSL_FLAG(std::uint32_t, layer_us, 20, "Cost of a layer in us.");
ABSL_FLAG(std::uint32_t, replay_us, 1, "Cost of a replayed layer in us.");
ABSL_FLAG(std::uint32_t, batch, 32, "Calls that share an iteration.");
ABSL_FLAG(std::uint64_t, kv_tokens, 100000, "KV capacity in tokens.");
ABSL_FLAG(std::uint32_t, service_ms, 1, "Time of a plain call in ms.");
ABSL_FLAG(std::uint32_t, load_lag_ms, 500, "Age of the reported load in ms.");
ABSL_FLAG(bool, checks_fencing, false, "Refuse orders with old numbers.");
ABSL_FLAG(std::string, faults, "", "Faults, such as 'die_at=5,slow_ms=20'.");
ABSL_FLAG(int, threads, 512, "Connections served at once.");

namespace {

using namespace balsampoint;

engine::Profile
MakeProfile()
{
  const auto adapters = absl::GetFlag(FLAGS_adapters);
  const auto faults = engine::Faults::Parse(absl::GetFlag(FLAGS_faults));
  if (!faults) {
    throw Failure{ faults.error() };
  }
  using std::chrono::microseconds;
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return {
    .isEngine = absl::GetFlag(FLAGS_kind) == "engine",
    .incarnation = Incarnation{ static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch)
        .count()) },
    .holdings = { .model = ModelId{ absl::GetFlag(FLAGS_model) },
                  .version = absl::GetFlag(FLAGS_version),
                  .adapters = { adapters.begin(), adapters.end() },
                  .layers = { .begin = absl::GetFlag(FLAGS_layer_begin),
                              .end = absl::GetFlag(FLAGS_layer_end) } },
    .times = { .overhead = microseconds{ absl::GetFlag(FLAGS_overhead_us) },
               .perLayer = microseconds{ absl::GetFlag(FLAGS_layer_us) },
               .perReplayedLayer =
                 microseconds{ absl::GetFlag(FLAGS_replay_us) },
               .maxBatch = absl::GetFlag(FLAGS_batch) },
    .faults = *faults,
    .checksFencing = absl::GetFlag(FLAGS_checks_fencing),
    .serviceTime = std::chrono::milliseconds{ absl::GetFlag(FLAGS_service_ms) },
  };
}

registry::Announcement
MakeAnnouncement(const engine::Profile& aProfile)
{
  constexpr double kMicrosPerSecond = 1e6;
  return {
    .server = ServerId{ absl::GetFlag(FLAGS_id) },
    .incarnation = aProfile.incarnation,
    .kind = aProfile.isEngine ? registry::ServerKind::ModelEngine
                              : registry::ServerKind::PlainService,
    .address = absl::GetFlag(FLAGS_listen),
    .zone = ZoneId{ absl::GetFlag(FLAGS_zone) },
    .acceleratorKind = absl::GetFlag(FLAGS_accelerator),
    .layerTokensPerSecond = kMicrosPerSecond * absl::GetFlag(FLAGS_batch) /
                            std::max(1U, absl::GetFlag(FLAGS_layer_us)),
    .service = ServiceId{ absl::GetFlag(FLAGS_service) },
    .kvCapacityTokens = absl::GetFlag(FLAGS_kv_tokens),
    .checksFencing = absl::GetFlag(FLAGS_checks_fencing),
  };
}

int
Serve()
{
  sigset_t signals{};
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  const auto profile = MakeProfile();
  engine::Handler handler{ profile };
  const http::ListenerLimits limits{ .maxThreads =
                                       absl::GetFlag(FLAGS_threads) };
  auto listener = http::BasicListener<engine::Handler>::Listen(
    absl::GetFlag(FLAGS_listen), handler, limits);
  if (!listener) {
    spdlog::error("{}", listener.error().detail);
    return 1;
  }
  engine::Announcer announcer{
    { .first = MakeAnnouncement(profile),
      .hosts = absl::GetFlag(FLAGS_announce),
      .modelLayers = absl::GetFlag(FLAGS_model_layers),
      .loadLag =
        std::chrono::milliseconds{ absl::GetFlag(FLAGS_load_lag_ms) } },
    handler
  };
  int signal = 0;
  sigwait(&signals, &signal);
  announcer.Leave();
  handler.Stop();
  return 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  absl::SetProgramUsageMessage(
    "Stand-in backend server: a model engine or a plain service.");
  absl::ParseCommandLine(aCount, aArguments);
  try {
    return Serve();
  } catch (const std::exception& failure) {
    spdlog::error("{}", failure.what());
    return 1;
  }
}
