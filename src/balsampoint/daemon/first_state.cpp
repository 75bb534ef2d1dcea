#include "balsampoint/daemon/first_state.hpp"

#include "balsampoint/runtime/steady_clock.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace balsampoint::daemon {

namespace {

registry::State
MakeRegistry(const config::Settings& aSettings)
{
  registry::State state;
  state.settings.self = aSettings.host;
  state.settings.zone = aSettings.zone;
  return state;
}

std::vector<HostId>
SeedHosts(const config::Settings& aSettings)
{
  std::vector<HostId> hosts;
  for (const auto& seed : aSettings.seeds) {
    hosts.push_back(seed.host);
  }
  return hosts;
}

consensus::Settings
MakeConsensusSettings(const config::Settings& aSettings)
{
  consensus::Settings settings;
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

fanout::State
MakeFanout(const config::Settings& aSettings, const peer::Identity& aIdentity)
{
  fanout::Settings settings;
  settings.self = { .host = aSettings.host,
                    .incarnation = aIdentity.incarnation,
                    .zone = aSettings.zone,
                    .address = aSettings.listen.peers.Text(),
                    .hasDisk = aSettings.dataFolder.has_value() };
  settings.seeds = SeedHosts(aSettings);
  return fanout::Module::Start(std::move(settings),
                               runtime::SteadyClock::Now());
}

std::uint64_t
MakeSeed()
{
  std::random_device device;
  constexpr unsigned kHalf = 32;
  return (std::uint64_t{ device() } << kHalf) | device();
}

} // namespace

tl::expected<FirstState, Error>
MakeFirstState(const config::Settings& aSettings,
               const peer::Identity& aIdentity)
{
  FirstState first;
  consensus::State log{ .settings = MakeConsensusSettings(aSettings) };
  if (aSettings.dataFolder) {
    auto opened = OpenStore(aSettings);
    if (!opened) {
      return tl::unexpected(opened.error());
    }
    first.store = std::move(opened->store);
    auto started = consensus::Module::Start(log.settings,
                                            std::move(opened->recovered),
                                            MakeSeed(),
                                            runtime::SteadyClock::Now(),
                                            first.actions);
    if (!started) {
      return tl::unexpected(started.error());
    }
    log = std::move(*started);
  }
  change::State changes{ .settings = { .self = aSettings.host,
                                       .seeds = SeedHosts(aSettings) } };
  first.states = { MakeRegistry(aSettings),
                   std::move(log),
                   std::move(changes),
                   MakeFanout(aSettings, aIdentity) };
  return first;
}

} // namespace balsampoint::daemon
