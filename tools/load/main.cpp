#include "load/experiment.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <iostream>

ABSL_FLAG(std::vector<std::string>,
          targets,
          {},
          "Callers' listeners, IP numbers and ports, comma-separated.");
ABSL_FLAG(std::vector<std::string>,
          direct,
          {},
          "Engines to call directly, in the order of their equal stages.");
ABSL_FLAG(std::string, key, "", "Key of a workspace.");
ABSL_FLAG(std::string, pipeline, "", "Pipeline to ask.");
ABSL_FLAG(std::string, model, "", "Model of the engines, with --direct.");
ABSL_FLAG(std::string, version, "1", "Version of the model.");
ABSL_FLAG(std::uint32_t, layers, 1, "Layers of the model.");
ABSL_FLAG(std::uint32_t, tokens, 16, "Tokens of each answer.");
ABSL_FLAG(std::uint32_t, requests, 100, "Number of requests.");
ABSL_FLAG(double, rate, 50, "Arrivals a second.");

namespace {

using namespace balsampoint;

std::vector<load::DirectStage>
DirectStages()
{
  const auto addresses = absl::GetFlag(FLAGS_direct);
  const auto layers = absl::GetFlag(FLAGS_layers);
  const auto count = static_cast<std::uint32_t>(addresses.size());
  std::vector<load::DirectStage> stages;
  for (std::uint32_t stage = 0; stage < count; ++stage) {
    stages.push_back({ .address = addresses[stage],
                       .layerBegin = layers * stage / count,
                       .layerEnd = layers * (stage + 1) / count });
  }
  return stages;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  constexpr int kUsageError = 2;
  absl::SetProgramUsageMessage(
    "Open-loop load on a daemon; each answer is checked by the arithmetic.");
  absl::ParseCommandLine(aCount, aArguments);
  const load::Experiment experiment{
    .targets = absl::GetFlag(FLAGS_targets),
    .direct = DirectStages(),
    .key = absl::GetFlag(FLAGS_key),
    .pipeline = absl::GetFlag(FLAGS_pipeline),
    .model = absl::GetFlag(FLAGS_model),
    .version = absl::GetFlag(FLAGS_version),
    .layers = absl::GetFlag(FLAGS_layers),
    .tokens = absl::GetFlag(FLAGS_tokens),
    .requests = absl::GetFlag(FLAGS_requests),
    .rate = absl::GetFlag(FLAGS_rate),
  };
  if (experiment.targets.empty() == experiment.direct.empty() ||
      experiment.rate <= 0) {
    std::cerr << "needs --targets or --direct, and a rate over zero\n";
    return kUsageError;
  }
  const auto result = load::RunExperiment(experiment);
  std::cout << load::EncodeResult(result) << "\n";
  return result.wrong == 0 ? 0 : 1;
}
