#include "balsampoint/reach/query/choose_references.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <tuple>
#include <utility>

namespace balsampoint::reach {

namespace {

using Addresses = std::vector<std::string>;

/** @brief Servers of one service in one zone. */
struct Group
{
  /** Servers drawn of the service, and of the zone. */
  std::size_t* ofService{};
  std::size_t* ofZone{};
  Addresses addresses;

  [[nodiscard]] std::size_t Drawn() const { return *ofService + *ofZone; }
};

std::string
TakeAny(Addresses& aFrom, SplitMix64& aRandom)
{
  std::swap(aFrom[aRandom.Next() % aFrom.size()], aFrom.back());
  auto taken = std::move(aFrom.back());
  aFrom.pop_back();
  return taken;
}

/** @brief Draws one of the groups of which, by service and zone, fewest servers
 * were drawn. */
Group&
DrawGroup(std::span<Group*> aGroups, SplitMix64& aRandom)
{
  const auto fewest = std::ranges::min(
    aGroups, {}, [](const Group* aGroup) { return aGroup->Drawn(); });
  const auto rest = std::ranges::partition(aGroups, [&](const Group* aGroup) {
    return aGroup->Drawn() == fewest->Drawn();
  });
  const auto count = static_cast<std::uint64_t>(rest.begin() - aGroups.begin());
  return *aGroups[aRandom.Next() % count];
}

} // namespace

std::vector<std::string>
ChooseReferences(std::span<const roster::Server> aServers,
                 std::size_t aCount,
                 SplitMix64& aRandom)
{
  std::map<ServiceId, std::size_t> services;
  std::map<ZoneId, std::size_t> zones;
  std::map<std::pair<ServiceId, ZoneId>, Group> groups;
  for (const auto& server : aServers) {
    if (!server.TakesWork()) {
      continue;
    }
    const auto& [service, address, zone] =
      std::tie(server.claim.description.service,
               server.claim.description.address,
               server.claim.description.zone);
    auto& group = groups[{ service, zone }];
    group.ofService = &services[service];
    group.ofZone = &zones[zone];
    group.addresses.push_back(address);
  }
  Addresses references;
  while (references.size() < aCount) {
    std::vector<Group*> left;
    for (auto& [key, group] : groups) {
      if (!group.addresses.empty()) {
        left.push_back(&group);
      }
    }
    if (left.empty()) {
      break;
    }
    auto& group = DrawGroup(left, aRandom);
    references.push_back(TakeAny(group.addresses, aRandom));
    ++*group.ofService;
    ++*group.ofZone;
  }
  return references;
}

} // namespace balsampoint::reach
