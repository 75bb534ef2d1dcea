#include "balsampoint/registry/internal/entries.hpp"

#include "balsampoint/core/hash.hpp"

#include <algorithm>

namespace balsampoint::registry::internal {

namespace {

constexpr std::size_t kEntriesPerMessage = 32;

} // namespace

void
SendEntries(const HostId& aTo,
            std::span<const Entry> aEntries,
            std::vector<Action>& aActions)
{
  while (!aEntries.empty()) {
    const auto part =
      aEntries.first(std::min(aEntries.size(), kEntriesPerMessage));
    aEntries = aEntries.subspan(part.size());
    aActions.emplace_back(Send{
      .to = aTo, .message = Delta{ .entries{ part.begin(), part.end() } } });
  }
}

std::uint64_t
HashOf(const State& aState)
{
  std::uint64_t sum{};
  for (const auto& [server, record] : aState.records) {
    if (!record.claim.live) {
      continue;
    }
    auto hash = HashText(server.Value());
    hash = HashNumber(hash, record.claim.stamp.incarnation.Value());
    hash = HashNumber(hash, record.claim.stamp.version);
    sum += HashNumber(hash, HashText(record.claim.owner.Value()));
  }
  return sum;
}

} // namespace balsampoint::registry::internal
