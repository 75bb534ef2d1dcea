#include "balsampoint/registry/query/view.hpp"

namespace balsampoint::registry {

View
MakeView(const State& aState)
{
  View view;
  view.servers.reserve(aState.records.size());
  for (const auto& [id, record] : aState.records) {
    if (!record.Visible()) {
      continue;
    }
    view.servers.push_back({ .announcement = record.announcement,
                             .reportedAt = record.reportedAt,
                             .health = record.health });
  }
  for (const auto& [zone, known] : aState.summaries) {
    if (zone != aState.settings.zone) {
      view.zones.push_back(known.summary);
    }
  }
  return view;
}

} // namespace balsampoint::registry
