#include "balsampoint/registry/query/view.hpp"

namespace balsampoint::registry {

View
MakeView(const State& aState)
{
  View view;
  view.servers.reserve(aState.records.size());
  for (const auto& [id, record] : aState.records) {
    if (!record.live) {
      continue;
    }
    view.servers.push_back(
      { .announcement = record.announcement, .reportedAt = record.reportedAt });
  }
  return view;
}

} // namespace balsampoint::registry
