#pragma once

#include "balsampoint/registry/action.hpp"
#include "balsampoint/registry/state.hpp"

#include <span>
#include <vector>

namespace balsampoint::registry::internal {

/**
 * @brief Copies records for another host.
 * @tparam Servers Range of server ids.
 * @param aState State to read.
 * @param aServers Servers to include; unknown ones are left out.
 * @return The entries.
 */
template<typename Servers>
[[nodiscard]] std::vector<Entry>
EntriesOf(const State& aState, const Servers& aServers)
{
  std::vector<Entry> entries;
  for (const auto& server : aServers) {
    const auto found = aState.records.find(server);
    if (found == aState.records.end()) {
      continue;
    }
    const auto& record = found->second;
    const Announcement lost{ .server = server,
                             .incarnation = record.announcement.incarnation,
                             .zone = record.announcement.zone };
    entries.push_back(
      { .announcement = record.claim.live ? record.announcement : lost,
        .claim = record.claim });
  }
  return entries;
}

/**
 * @brief Copies the loads of servers for another host.
 * @tparam Servers Range of server ids.
 * @param aState State to read.
 * @param aServers Servers to include; unknown ones are left out.
 * @return The loads.
 */
template<typename Servers>
[[nodiscard]] std::vector<LoadReport>
LoadsOf(const State& aState, const Servers& aServers)
{
  std::vector<LoadReport> reports;
  for (const auto& server : aServers) {
    const auto found = aState.records.find(server);
    if (found == aState.records.end()) {
      continue;
    }
    const auto& announcement = found->second.announcement;
    reports.push_back({ .server = server,
                        .incarnation = announcement.incarnation,
                        .load = announcement.load });
  }
  return reports;
}

/**
 * @brief Sends entries in messages of bounded size.
 * @param aTo Host that receives them.
 * @param aEntries Entries to send.
 * @param aActions Messages to send are appended to it.
 */
void
SendEntries(const HostId& aTo,
            std::span<const Entry> aEntries,
            std::vector<Action>& aActions);

/**
 * @brief Hashes the live claims, independent of their order.
 * @param aState State to read.
 * @return Hash that is equal for two registries with the same live claims.
 */
[[nodiscard]] std::uint64_t
HashOf(const State& aState);

} // namespace balsampoint::registry::internal
