#include "balsampoint/config/query/document_text.hpp"
#include "balsampoint/config/query/key_index.hpp"
#include "balsampoint/config/query/verify_key.hpp"
#include "report.hpp"
#include "timing.hpp"

#include <array>

using namespace balsampoint;

namespace {

constexpr std::size_t kTargetWorkspaces = 1200;
constexpr std::size_t kPipelines = 22;

/** @brief A configuration of a number of workspaces with two keys each. */
config::Document
MakeDocument(std::size_t aWorkspaces)
{
  config::Document document;
  for (std::size_t index = 0; index < kPipelines; ++index) {
    const PipelineId id{ "pipeline-" + std::to_string(index) };
    document.pipelines[id] = { .id = id,
                               .model = ModelId{ "model" },
                               .version = "1",
                               .layers = 40,
                               .maxTokens = 512,
                               .timeout = std::chrono::seconds{ 60 } };
  }
  for (std::size_t index = 0; index < aWorkspaces; ++index) {
    const auto name = "workspace-" + std::to_string(index);
    config::Workspace workspace{ .id = WorkspaceId{ name } };
    for (const auto* const part : { "a", "b" }) {
      workspace.keys.push_back(
        config::HashKey(name + part + ".secret", "00112233445566778899"));
    }
    workspace.pipelines.listed.emplace().insert(
      PipelineId{ "pipeline-" + std::to_string(index % kPipelines) });
    document.workspaces.emplace(workspace.id, workspace);
  }
  return document;
}

void
MeasureSize(bench::Report& aReport, std::size_t aWorkspaces)
{
  constexpr double kMillisecond = 1e-3;
  constexpr double kMicrosecond = 1e-6;
  constexpr std::size_t kRuns = 7;
  constexpr std::size_t kLookups = 1000;
  const auto document = MakeDocument(aWorkspaces);
  const auto text = config::Serialize(document);
  const auto size = " at " + std::to_string(aWorkspaces);
  aReport.Add("text" + size, static_cast<double>(text.size()), "B");
  const auto parse = bench::MedianSeconds(kRuns, [&] {
    if (!config::Parse(text)) {
      std::abort();
    }
  });
  const auto index = config::KeyIndex::Make(document, {});
  const auto lookup = bench::MedianSeconds(kRuns, [&] {
    for (std::size_t call = 0; call < kLookups; ++call) {
      const auto name = std::to_string(call % aWorkspaces);
      if (!index.FindWorkspace("workspace-" + name + "b.secret")) {
        std::abort();
      }
    }
  });
  const auto lookupTime = lookup / kLookups / kMicrosecond;
  if (aWorkspaces != kTargetWorkspaces) {
    aReport.Add("parse" + size, parse / kMillisecond, "ms");
    aReport.Add("key look-up" + size, lookupTime, "us");
    return;
  }
  aReport.AtMost("parse" + size,
                 parse / kMillisecond,
                 "ms",
                 188,
                 "a third of 3 % of a core over 4,600 changes a day");
  aReport.AtMost("key look-up" + size,
                 lookupTime,
                 "us",
                 10,
                 "a hundredth of the 1 ms that a hop may add");
}

} // namespace

int
main(int aCount, char** aArguments)
{
  constexpr std::array<std::size_t, 5> kSizes{ 75, 150, 300, 600, 1200 };
  bench::Report report{ "config",
                        { aArguments, static_cast<std::size_t>(aCount) } };
  for (const auto size : kSizes) {
    MeasureSize(report, size);
  }
  return report.Finish();
}
