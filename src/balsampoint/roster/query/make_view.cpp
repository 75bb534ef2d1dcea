#include "balsampoint/roster/query/make_view.hpp"

#include <algorithm>

namespace balsampoint::roster {

namespace {

bool
IsLive(const State& aState, const HostId& aHost, Instant aNow)
{
  if (aHost == aState.settings.self) {
    return true;
  }
  const auto found = aState.sources.find(aHost);
  if (found == aState.sources.end()) {
    return false;
  }
  const auto& lastReceivedAt = found->second.lastReceivedAt;
  return lastReceivedAt.has_value() &&
         aNow - lastReceivedAt.value() <= aState.settings.hostTimeout;
}

bool
IsAnySourceLive(const State& aState, Instant aNow)
{
  return aState.settings.isControlHost ||
         std::ranges::any_of(aState.sources, [&](const auto& aEntry) {
           return IsLive(aState, aEntry.first, aNow);
         });
}

} // namespace

View
MakeView(const State& aState, Instant aNow)
{
  View view;
  const bool isAnyLive = IsAnySourceLive(aState, aNow);
  for (const auto& [id, record] : aState.records) {
    if (record.goneAt != kNever) {
      continue;
    }
    const bool suspected = isAnyLive && !IsLive(aState, record.owner, aNow);
    auto claim = record.claim;
    claim.stamp.sequence = 0;
    view.servers.push_back({ std::move(claim), suspected });
  }
  for (const auto& [host, source] : aState.sources) {
    view.controls.push_back({ host, source.address });
    if (view.collector.Empty() && IsLive(aState, host, aNow)) {
      view.collector = host;
    }
  }
  if (aState.settings.isControlHost) {
    view.controls.push_back({ aState.settings.self, aState.settings.address });
  }
  return view;
}

} // namespace balsampoint::roster
