#include "balsampoint/roster/query/make_view.hpp"

#include "balsampoint/roster/internal/tree.hpp"

#include <algorithm>
#include <utility>

namespace balsampoint::roster {

Topology
DescribeTopology(const State& aState, Instant aNow)
{
  Topology topology;
  if (aState.role == Role::Entry) {
    for (const auto& host : internal::ChooseRelays(aState, aNow)) {
      if (internal::IsServing(aState, aState.relays.at(host), aNow)) {
        topology.collector = host;
        break;
      }
    }
    return topology;
  }
  topology.collector = aState.settings.self;
  if (aState.role == Role::Control) {
    return topology;
  }
  for (auto& relay : internal::LiveRelays(aState, aState.settings.zone, aNow)) {
    if (relay.host != aState.settings.self) {
      topology.peers.push_back(std::move(relay.host));
    }
  }
  const auto controls = internal::ReachableControls(aState, aNow);
  if (!controls.empty()) {
    topology.upstream = controls.front();
  }
  return topology;
}

View
MakeView(const State& aState,
         std::span<const HostId> aReachableControls,
         Topology aTopology)
{
  View view{ .topology = std::move(aTopology) };
  for (const auto& [id, record] : aState.records) {
    if (record.goneAt != kNever) {
      continue;
    }
    const bool suspected =
      !aReachableControls.empty() &&
      !std::ranges::binary_search(aReachableControls, record.owner);
    auto claim = record.claim;
    claim.stamp.sequence = 0;
    view.servers.push_back({ std::move(claim), suspected });
  }
  return view;
}

} // namespace balsampoint::roster
