#include "balsampoint/daemon/first_state.hpp"

#include "balsampoint/core/hash.hpp"
#include "balsampoint/runtime/entropy.hpp"
#include "balsampoint/runtime/steady_clock.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace balsampoint::daemon {

namespace {

std::vector<HostId>
SeedHosts(const config::Settings& aSettings)
{
  std::vector<HostId> hosts;
  hosts.reserve(aSettings.seeds.size());
  for (const auto& seed : aSettings.seeds) {
    hosts.push_back(seed.host);
  }
  return hosts;
}

retry::State
FirstRetryState(const config::Settings& aSettings)
{
  retry::State state;
  state.settings.zone = aSettings.zone;
  state.random = runtime::Entropy::Next();
  return state;
}

/**
 * Half of the requests in progress may run and most of the others wait; what
 * is left lets a newcomer in to take the place of who is over its share.
 */
limit::State
FirstLimitState(const config::Settings& aSettings)
{
  constexpr std::uint32_t kNewcomers = 16;
  constexpr std::uint32_t kWorkspaceParts = 8;
  const auto all = aSettings.limits.concurrentRequests;
  limit::State state;
  state.settings.slots = std::max(1U, all / 2);
  state.settings.maxWaiting =
    all - state.settings.slots -
    std::min(all - state.settings.slots, all / kNewcomers);
  state.settings.maxWaitingPerWorkspace = std::max(1U, all / kWorkspaceParts);
  return state;
}

ledger::State
FirstLedgerState(const config::Settings& aSettings, Incarnation aIncarnation)
{
  auto state = ledger::Module::Start({ .self = aSettings.host,
                                       .incarnation = aIncarnation,
                                       .members = SeedHosts(aSettings) },
                                     ledger::Bounds{},
                                     runtime::SteadyClock::Now());
  if (!state) {
    throw Failure{ state.error() };
  }
  return std::move(*state);
}

member::State
FirstMemberState(const config::Settings& aSettings,
                 Incarnation aIncarnation,
                 const ControlTuning& aTuning)
{
  member::Settings settings{ .self = { .id = aSettings.host,
                                       .zone = aSettings.zone,
                                       .region = aSettings.region,
                                       .address = aSettings.listen.peers.Text(),
                                       .incarnation = aIncarnation } };
  if (aTuning.ownInterface) {
    for (const auto& seed : aSettings.seeds) {
      settings.seeds.push_back(
        { .id = seed.host, .address = seed.address.Text() });
    }
  }
  const auto seed =
    HashNumber(HashText(aSettings.host.Value()), aIncarnation.Value());
  return member::MakeState(std::move(settings), seed);
}

registry::State
FirstRegistryState(const config::Settings& aSettings, Incarnation aIncarnation)
{
  const auto seed =
    HashNumber(aIncarnation.Value(), HashText(aSettings.host.Value()));
  return { .settings = { .self = aSettings.host, .zone = aSettings.zone },
           .random = SplitMix64{ seed } };
}

consensus::Settings
MakeConsensusSettings(const config::Settings& aSettings,
                      consensus::Settings aBase)
{
  auto settings = std::move(aBase);
  settings.self = aSettings.host;
  if (!aSettings.voter) {
    return settings;
  }
  auto& members = settings.initialMembers.members;
  for (const auto& seed : aSettings.seeds) {
    members.push_back(
      { seed.host, seed.zone, consensus::MemberRole::Voter, {} });
  }
  std::ranges::sort(members);
  return settings;
}

/** @brief Hosts of gateways without a disk are no part of the tree: the leader
 * would have to keep up with each of them. */
fanout::State
MakeFanout(const config::Settings& aSettings,
           const peer::Identity& aIdentity,
           const ControlTuning& aTuning)
{
  /** Time in which the control hosts of the zone advertise it too. */
  constexpr Duration kFetchDelay = std::chrono::milliseconds{ 60 };
  fanout::Settings settings;
  settings.joinsTree = aTuning.ownInterface || aSettings.dataFolder.has_value();
  if (!settings.joinsTree) {
    settings.fetchDelay = kFetchDelay;
  }
  settings.self = { .host = aSettings.host,
                    .incarnation = aIdentity.incarnation,
                    .zone = aSettings.zone,
                    .address = aSettings.listen.peers.Text(),
                    .hasDisk = aSettings.dataFolder.has_value() };
  settings.seeds = SeedHosts(aSettings);
  return fanout::Module::Start(std::move(settings),
                               runtime::SteadyClock::Now());
}

} // namespace

peer::Identity
MakeIdentity(const config::Settings& aSettings)
{
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  const auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
  return { .cluster = aSettings.cluster,
           .host = aSettings.host,
           .incarnation =
             Incarnation{ static_cast<std::uint64_t>(milliseconds) },
           .secret = aSettings.secret };
}

tl::expected<FirstState, Error>
MakeFirstState(const config::Settings& aSettings,
               const peer::Identity& aIdentity,
               const ControlTuning& aTuning)
{
  FirstState first;
  consensus::State log{ .settings =
                          MakeConsensusSettings(aSettings, aTuning.consensus) };
  if (aSettings.dataFolder) {
    auto opened = OpenStore(aSettings);
    if (!opened) {
      return tl::unexpected(opened.error());
    }
    first.store = std::move(opened->store);
    auto started = consensus::Module::Start(log.settings,
                                            std::move(opened->recovered),
                                            runtime::Entropy::Next(),
                                            runtime::SteadyClock::Now(),
                                            first.actions);
    if (!started) {
      return tl::unexpected(started.error());
    }
    log = std::move(*started);
  }
  change::State changes{ .settings = { .self = aSettings.host,
                                       .seeds = SeedHosts(aSettings) } };
  first.states = {
    FirstMemberState(aSettings, aIdentity.incarnation, aTuning),
    FirstRegistryState(aSettings, aIdentity.incarnation),
    FirstRetryState(aSettings),
    FirstLimitState(aSettings),
    FirstLedgerState(aSettings, aIdentity.incarnation),
    std::move(log),
    std::move(changes),
    MakeFanout(aSettings, aIdentity, aTuning),
    roster::Module::Start(aTuning.roster, runtime::SteadyClock::Now()),
    placement::State{},
    usage::State{
      .settings = { .self = aSettings.host,
                    .zone = aSettings.zone,
                    .isControlHost = aTuning.roster.isControlHost } }
  };
  return first;
}

} // namespace balsampoint::daemon
