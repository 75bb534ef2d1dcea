#pragma once

#include "balsampoint/config/document.hpp"
#include "balsampoint/config/query/key_index.hpp"
#include "balsampoint/registry/view.hpp"
#include "balsampoint/route/table.hpp"
#include "balsampoint/runtime/snapshot_cell.hpp"
#include "balsampoint/traffic/activity_count.hpp"
#include "balsampoint/traffic/change_signal.hpp"
#include "balsampoint/traffic/shared_router.hpp"
#include "balsampoint/traffic/status.hpp"

#include <atomic>
#include <memory>

namespace balsampoint::traffic {

/** @brief A configuration in force with the index of its keys; immutable. */
struct Configuration
{
  config::Document document;
  config::KeyIndex keys;
};

/** @brief A configuration that a request keeps from its start to its end. */
using ConfigurationPointer = std::shared_ptr<const Configuration>;

/** @brief What the control thread publishes and traffic threads read. */
struct World
{
  runtime::SnapshotCell<Configuration> configuration;
  runtime::SnapshotCell<registry::View> servers;
  /** Follows the configuration and the servers. */
  runtime::SnapshotCell<route::Table> routes;
  /** Tells that the configuration or the servers changed. */
  ChangeSignal changed;
  SharedRouter router;
  /** Zone of this host. */
  ZoneId zone;
  runtime::SnapshotCell<Status> status;
  /** Set once by a planned stop. */
  std::atomic<bool> draining{ false };
  ActivityCount activity;
};

} // namespace balsampoint::traffic
