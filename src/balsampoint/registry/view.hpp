#pragma once

#include "balsampoint/registry/announcement.hpp"
#include "balsampoint/registry/health.hpp"
#include "balsampoint/registry/summary.hpp"

#include <memory>
#include <vector>

namespace balsampoint::registry {

/** @brief One live server as traffic threads see it. */
struct Server
{
  Announcement announcement;
  /** When its load was reported, by the receiving host's clock. */
  Instant reportedAt{};
  Health health;
};

/** @brief The live servers in the order of their ids; immutable. */
struct View
{
  std::vector<Server> servers;
  /** The other zones in the order of their ids. */
  std::vector<ZoneSummary> zones;
};

} // namespace balsampoint::registry
