#pragma once

#include "balsampoint/registry/announcement.hpp"
#include "balsampoint/registry/health.hpp"
#include "balsampoint/registry/summary.hpp"

#include <memory>
#include <vector>

namespace balsampoint::registry {

/** @brief One visible server, as published to traffic threads. */
struct Server
{
  Announcement announcement;
  /** When its load was received, by this host's clock. */
  Instant reportedAt{};
  Health health;
};

/** @brief Visible servers in the order of their ids; immutable. */
struct View
{
  std::vector<Server> servers;
  /** Summaries of the other zones in the order of their ids. */
  std::vector<ZoneSummary> zones;
};

} // namespace balsampoint::registry
