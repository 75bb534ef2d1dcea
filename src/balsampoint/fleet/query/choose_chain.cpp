#include "balsampoint/fleet/query/choose_chain.hpp"

#include "balsampoint/core/split_mix.hpp"
#include "balsampoint/fleet/internal/cost.hpp"
#include "balsampoint/fleet/internal/rate_share.hpp"
#include "balsampoint/fleet/internal/rejection.hpp"
#include "balsampoint/fleet/internal/weighted_server.hpp"
#include "balsampoint/fleet/internal/zone_link.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

namespace balsampoint::fleet {

namespace {

using internal::kUnreachable;
using internal::WeightedServer;

/** @brief Last hop of the cheapest path from layer zero to a layer. */
struct Step
{
  double cost{ kUnreachable };
  const Server* server{};
  /** First layer that the server runs. */
  std::uint32_t from{};
  /** Wait for earlier prompts on the path, in ms. */
  double backlogMs{};
  /** Predicted time per event: the cost without random weights and without
   * such waits, which delay no event but the first. */
  double eventMs{};
};

/** @brief Layers that a server holds; empty if it has reported none. */
LayerRange
Held(const Server& aServer)
{
  return aServer.claim.description.layers.value_or(LayerRange{});
}

/** @brief Searches the cheapest chain through the engines of one service. */
class Search
{
public:
  Search(const State& aState,
         const Group& aGroup,
         const routing::EngineProfile& aEngine,
         const Demand& aDemand,
         bool aLastResort,
         Instant aNow)
    : mSettings{ aState.settings }
    , mGroup{ aGroup }
    , mEngine{ aEngine }
    , mDemand{ aDemand }
    , mNow{ aNow }
    , mTokens{ TokensOf(aState.settings, aDemand) }
    , mLimited{ internal::DrawLimited(aGroup,
                                      aDemand.randomSample.value_or(0),
                                      aNow) }
    // A request whose servers have failed it takes any chain that is left.
    , mMayChangeZone{ !aGroup.competing || !aDemand.failed.empty() ||
                      !internal::IsZoneLinkUsedUp(aState,
                                                  aGroup,
                                                  aEngine,
                                                  aNow) }
    , mSteps(mEngine.layers + 1)
  {
    SplitMix64 random{ aDemand.randomSample.value_or(0) };
    for (const auto& [id, server] : aGroup.servers) {
      const bool out = aLastResort ? server.Unable(aNow) : server.Avoided(aNow);
      if (out || !Usable(server)) {
        continue;
      }
      const auto chance =
        aGroup.competing
          ? internal::ChanceAfterRejection(aState.settings, server, aNow)
          : 1.0;
      if (chance < 1.0 && random.NextUnit() >= chance) {
        continue;
      }
      mServers.push_back(
        Weigh(server, 1.0 + Spread(server) * random.NextUnit()));
    }
    MarkBoundaries();
  }

  tl::expected<Chain, Error> Run()
  {
    mSteps.front().cost = 0.0;
    for (std::uint32_t layer = 0; layer < mEngine.layers; ++layer) {
      if (mSteps[layer].cost == kUnreachable) {
        continue;
      }
      for (const auto& candidate : mServers) {
        Extend(layer, candidate);
      }
    }
    if (mSteps.back().cost == kUnreachable) {
      return Refuse(ErrorKind::NoServer, DescribeObstacle());
    }
    return Trace();
  }

  /** @brief Describes every server of the group. */
  [[nodiscard]] std::vector<Candidate> Describe() const
  {
    std::vector<Candidate> candidates;
    candidates.reserve(mGroup.servers.size());
    for (const auto& entry : mGroup.servers) {
      candidates.push_back(Describe(entry.second));
    }
    return candidates;
  }

private:
  [[nodiscard]] Candidate Describe(const Server& aServer) const
  {
    const auto& description = aServer.claim.description;
    Candidate candidate{ .server = aServer.claim.server,
                         .address = description.address,
                         .zone = description.zone,
                         .layers = description.layers,
                         .passing = aServer.Passing(),
                         .failureRate = aServer.failureRate,
                         .excluded = Obstacle(aServer) };
    if (aServer.kvCapacity > 0.0) {
      candidate.kvUse = aServer.KvUsed() / aServer.kvCapacity;
    }
    const auto used =
      std::ranges::find(mServers, &aServer, &WeightedServer::server);
    if (used != mServers.end()) {
      const auto cost =
        used->weight * (used->waitMs + RunMs(*used, Held(aServer).Size()));
      candidate.cost =
        cost < kUnreachable ? std::optional{ cost } : std::nullopt;
    }
    return candidate;
  }

  /** @brief What keeps a server out of the chain, or from its beginning. */
  [[nodiscard]] std::string Obstacle(const Server& aServer) const
  {
    const auto held = Held(aServer);
    if (aServer.ready && held.Size() == 0) {
      return "holds no layers";
    }
    const bool used =
      std::ranges::find(mServers, &aServer, &WeightedServer::server) !=
      mServers.end();
    if (!used && aServer.ready && !aServer.Unable(mNow)) {
      return "avoided after faults";
    }
    if (!used) {
      return std::string{ ReasonAgainst(aServer) };
    }
    if (RunMs(Weigh(aServer, 1.0), 1) == kUnreachable) {
      return "full";
    }
    if (held.begin > 0 || MayReceive(aServer)) {
      return {};
    }
    return aServer.rateLimit ? "limited" : "all slots in use";
  }

  /**
   * @brief Describes why no chain exists: the first layer that no path
   * reaches, and what keeps each of its holders out.
   */
  [[nodiscard]] std::string DescribeObstacle() const
  {
    std::uint32_t layer = mEngine.layers;
    while (layer > 0 && mSteps[layer].cost == kUnreachable) {
      --layer;
    }
    std::map<std::string_view, int> holders;
    for (const auto& entry : mGroup.servers) {
      if (Held(entry.second).Holds(layer)) {
        ++holders[ReasonAgainst(entry.second)];
      }
    }
    auto text = "no server can run layer " + std::to_string(layer);
    for (const auto& [reason, count] : holders) {
      text += "; " + std::to_string(count) + " " + std::string{ reason };
    }
    return text;
  }

  /** @brief Why a server that holds a layer can't run it for this request. */
  [[nodiscard]] std::string_view ReasonAgainst(const Server& aServer) const
  {
    if (!aServer.ready) {
      return "not ready";
    }
    if (mDemand.failed.contains(aServer.claim.server)) {
      return "failed the request";
    }
    if (aServer.unreachableUntil > mNow) {
      return "out of reach";
    }
    if (aServer.BacksOff(mNow)) {
      return "backing off";
    }
    if (aServer.rateLimit) {
      return "limited";
    }
    if (internal::ChanceAfterRejection(mSettings, aServer, mNow) < 1.0) {
      return "rejecting";
    }
    return "full";
  }

  [[nodiscard]] bool Usable(const Server& aServer) const
  {
    return aServer.ready && aServer.claim.description.layers &&
           !mDemand.failed.contains(aServer.claim.server);
  }

  /** Upper bound of the random part of a server's weight. It grows with the
   * fill level, since work that isn't reported yet matters most there. */
  [[nodiscard]] double Spread(const Server& aServer) const
  {
    if (!mDemand.randomSample) {
      return 0.0;
    }
    if (!mGroup.competing) {
      return mSettings.spread;
    }
    const auto fullness = std::min(1.0, Fullness(aServer, aServer.KvUsed()));
    return mSettings.spread + mSettings.fullSpread * fullness * fullness;
  }

  /** Part of the KV that may be reserved; one for a server without KV. */
  [[nodiscard]] double Fullness(const Server& aServer, double aUsed) const
  {
    const auto room = aServer.kvCapacity * mSettings.maxKvFraction;
    return room > 0.0 ? aUsed / room : 1.0;
  }

  /** Marks the layers at which the range of some server begins. */
  void MarkBoundaries()
  {
    mBoundaries.assign(mEngine.layers + 1, false);
    for (const auto& candidate : mServers) {
      const auto begin = Held(*candidate.server).begin;
      if (begin < mBoundaries.size()) {
        mBoundaries[begin] = true;
      }
    }
  }

  /** Whether the cheapest path to a layer already uses a server. */
  [[nodiscard]] bool Passes(std::uint32_t aLayer, const Server& aServer) const
  {
    while (aLayer > 0) {
      const auto& step = mSteps[aLayer];
      if (step.server == &aServer) {
        return true;
      }
      aLayer = step.from;
    }
    return false;
  }

  [[nodiscard]] bool MayReceive(const Server& aServer) const
  {
    const auto& receivers = mDemand.receivers;
    return aServer.Sent() < aServer.claim.description.slots &&
           (!aServer.rateLimit || &aServer == mLimited) &&
           (receivers.empty() || receivers.contains(aServer.claim.server));
  }

  void Extend(std::uint32_t aLayer, const WeightedServer& aCandidate)
  {
    const auto& server = *aCandidate.server;
    const auto held = Held(server);
    if (!held.Holds(aLayer) || held.end > mEngine.layers ||
        Passes(aLayer, server)) {
      return;
    }
    if (aLayer == 0 && !MayReceive(server)) {
      return;
    }
    const auto& before = mSteps[aLayer];
    const auto weight = aCandidate.weight;
    const auto hopMs = HopMs(aLayer, server);
    const auto backlogMs = before.backlogMs + aCandidate.backlogMs;
    const auto backlogCost = BacklogCost(aLayer, aCandidate);
    for (auto end = aLayer + 1; end <= held.end; ++end) {
      if (end != held.end && !mBoundaries[end]) {
        continue;
      }
      const auto layers = end - aLayer;
      const auto eventMs = aCandidate.waitMs + RunMs(aCandidate, layers);
      const auto delay = backlogCost + layers * aCandidate.delayMsPerLayer;
      const auto cost = before.cost + hopMs + weight * (eventMs + delay);
      if (cost < mSteps[end].cost) {
        mSteps[end] = {
          cost, &server, aLayer, backlogMs, before.eventMs + hopMs + eventMs
        };
      }
    }
  }

  [[nodiscard]] double HopMs(std::uint32_t aLayer, const Server& aServer) const
  {
    const auto& zone = aServer.claim.description.zone;
    const auto* before = mSteps[aLayer].server;
    if (before == nullptr) {
      return mSettings.hopMs +
             (zone == mSettings.zone ? 0.0 : mSettings.farEntryMs);
    }
    const bool sameZone = zone == before->claim.description.zone;
    // The link between zones is full at few such chains, so that even the
    // heaviest random weight of the servers in a zone must not outweigh it.
    const auto weight = mGroup.competing ? 1.0 + mSettings.fullSpread : 1.0;
    const auto zoneChange =
      mMayChangeZone ? mSettings.zoneChangeMs * weight : kUnreachable;
    return mSettings.hopMs + (sameZone ? 0.0 : zoneChange);
  }

  [[nodiscard]] WeightedServer Weigh(const Server& aServer,
                                     double aWeight) const
  {
    return internal::WeighServer(
      mSettings, mGroup, mEngine, mDemand, aServer, aWeight, mNow);
  }

  [[nodiscard]] double RunMs(const WeightedServer& aCandidate,
                             std::uint32_t aLayers) const
  {
    return internal::RunMs(aCandidate, mTokens, aLayers);
  }

  /**
   * @brief Cost per event of the wait for earlier prompts at a server. The wait
   * delays the first event only, so it counts once, like the prefill. Its
   * square, as part of the target, counts as the same part of the target
   * between events; the wait on the path before is included, since the sum has
   * to keep to the target.
   */
  [[nodiscard]] double BacklogCost(std::uint32_t aLayer,
                                   const WeightedServer& aCandidate) const
  {
    const auto added = aCandidate.backlogMs;
    const auto before = mSteps[aLayer].backlogMs;
    const auto target = mSettings.firstEventTargetMs;
    const auto squares = added * (added + 2 * before) / (target * target);
    return added / internal::EventsOf(mEngine, mDemand) +
           squares * mSettings.eventTargetMs;
  }

  [[nodiscard]] Chain Trace() const
  {
    Chain chain{ .tokens = mTokens,
                 .promptTokens = mDemand.promptTokens,
                 .eventMs = mSteps.back().eventMs };
    auto layer = mEngine.layers;
    while (layer > 0) {
      const auto& step = mSteps[layer];
      const auto& description = step.server->claim.description;
      chain.hops.push_back(
        { .server = step.server->claim.server,
          .incarnation = step.server->claim.stamp.incarnation,
          .address = description.address,
          .layers = { step.from, layer } });
      chain.firstEventMs += internal::ReadMs(mEngine,
                                             step.server->readFactor,
                                             layer - step.from,
                                             mDemand.promptTokens);
      layer = step.from;
    }
    chain.firstEventMs += mSteps.back().backlogMs + chain.eventMs;
    std::ranges::reverse(chain.hops);
    return chain;
  }

  const Settings& mSettings;
  const Group& mGroup;
  const routing::EngineProfile& mEngine;
  const Demand& mDemand;
  Instant mNow;
  double mTokens;
  /** The one server with a rate limit that may receive the request; or null. */
  const Server* mLimited;
  /** Whether the chain may pass from one zone to another. */
  bool mMayChangeZone;
  std::vector<Step> mSteps;
  std::vector<bool> mBoundaries;
  std::vector<WeightedServer> mServers;
};

} // namespace

tl::expected<Chain, Error>
ChooseChain(const State& aState, const Demand& aDemand, Instant aNow)
{
  const auto group = aState.groups.find(aDemand.service);
  if (group == aState.groups.end()) {
    return Refuse(ErrorKind::NoServer, "the service is not configured");
  }
  const auto& engine = group->second.engine;
  if (!engine.has_value()) {
    return Refuse(ErrorKind::NoServer, "the service has no engines");
  }
  if (engine->layers == 0) {
    return Refuse(ErrorKind::NoServer, "the model has no layers");
  }
  const auto search = [&](bool aLastResort) {
    return Search{ aState,  group->second, engine.value(),
                   aDemand, aLastResort,   aNow }
      .Run();
  };
  auto chain = search(false);
  // If some layer is held by faulty servers only, use one of them rather than
  // refuse the request.
  const bool anyAtFault =
    !chain &&
    std::ranges::any_of(group->second.servers, [&](const auto& aEntry) {
      return aEntry.second.Avoided(aNow) && !aEntry.second.Unable(aNow);
    });
  return anyAtFault ? search(true) : std::move(chain);
}

std::vector<Candidate>
DescribeEngines(const State& aState, const Demand& aDemand, Instant aNow)
{
  const auto group = aState.groups.find(aDemand.service);
  if (group == aState.groups.end()) {
    return {};
  }
  const auto& engine = group->second.engine;
  if (!engine.has_value() || engine->layers == 0) {
    return {};
  }
  return Search{ aState, group->second, engine.value(), aDemand, false, aNow }
    .Describe();
}

} // namespace balsampoint::fleet
