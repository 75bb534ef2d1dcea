#include "balsampoint/registry/internal/summarize.hpp"

#include "balsampoint/core/hash.hpp"

#include <algorithm>
#include <tuple>

namespace balsampoint::registry::internal {

namespace {

using StageKey =
  std::tuple<ModelId, std::string, std::set<std::string>, LayerRange>;

void
AddTo(StageSummary& aStage, const Announcement& aAnnouncement)
{
  const auto& load = aAnnouncement.load;
  ++aStage.servers;
  aStage.layerTokensPerSecond += aAnnouncement.layerTokensPerSecond;
  aStage.kvTokensFree +=
    aAnnouncement.kvCapacityTokens -
    std::min(aAnnouncement.kvCapacityTokens, load.kvTokensUsed);
  aStage.queuedRequests += load.queuedRequests;
}

} // namespace

ZoneSummary
Summarize(const State& aState)
{
  std::map<StageKey, StageSummary> stages;
  std::map<ServiceId, std::uint32_t> services;
  for (const auto& [id, record] : aState.records) {
    const auto& announcement = record.announcement;
    if (!record.Visible() || announcement.state != ServerState::Ready) {
      continue;
    }
    if (!announcement.service.Empty()) {
      ++services[announcement.service];
    }
    for (const auto& holding : announcement.holdings) {
      AddTo(
        stages[{
          holding.model, holding.version, holding.adapters, holding.layers }],
        announcement);
    }
  }
  ZoneSummary summary{ .zone = aState.settings.zone };
  for (auto& [key, stage] : stages) {
    std::tie(stage.model, stage.version, stage.adapters, stage.layers) = key;
    summary.stages.push_back(std::move(stage));
  }
  for (const auto& [service, servers] : services) {
    summary.services.push_back({ .service = service, .servers = servers });
  }
  return summary;
}

std::uint64_t
StructureOf(const State& aState)
{
  auto hash = kHashStart;
  const auto summary = Summarize(aState);
  for (const auto& stage : summary.stages) {
    hash = HashNumber(hash, HashText(stage.model.Value()));
    hash = HashNumber(hash, HashText(stage.version));
    for (const auto& adapter : stage.adapters) {
      hash = HashNumber(hash, HashText(adapter));
    }
    hash = HashNumber(hash, stage.layers.begin);
    hash = HashNumber(hash, stage.layers.end);
    hash = HashNumber(hash, stage.servers);
  }
  for (const auto& service : summary.services) {
    hash = HashNumber(hash, HashText(service.service.Value()));
    hash = HashNumber(hash, service.servers);
  }
  return hash;
}

} // namespace balsampoint::registry::internal
