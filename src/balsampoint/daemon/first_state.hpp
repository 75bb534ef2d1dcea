#pragma once

#include "balsampoint/config/settings.hpp"
#include "balsampoint/daemon/control.hpp"
#include "balsampoint/daemon/disk_worker.hpp"
#include "balsampoint/peer/parcel.hpp"

#include <optional>

namespace balsampoint::daemon {

/** @brief What the control thread starts with. */
struct FirstState
{
  Control::States states;
  /** What the replicated log asks for before its first event. */
  consensus::Actions actions;
  /** The data folder of a host that has a disk. */
  std::optional<LogStore> store;
};

/** @brief Settings of the control group beyond those of the host. */
struct ControlTuning
{
  consensus::Settings consensus;
  /** Control hosts and servers' heartbeats; without seeds there is none. */
  roster::Settings roster;
  /** Whether the other modules of a daemon's own interface run. */
  bool ownInterface{ true };
};

/**
 * @brief The identity of this start of a host towards its peers.
 *
 * The incarnation is the wall clock, so that each start has a higher number.
 * @param aSettings The host's settings.
 */
[[nodiscard]] peer::Identity
MakeIdentity(const config::Settings& aSettings);

/**
 * @brief Reads the data folder and makes the first states of all modules.
 * @param aSettings The host's settings.
 * @param aIdentity This host.
 * @param aTuning Settings of the control group.
 * @return The states, or why the host can't start.
 */
[[nodiscard]] tl::expected<FirstState, Error>
MakeFirstState(const config::Settings& aSettings,
               const peer::Identity& aIdentity,
               const ControlTuning& aTuning = {});

} // namespace balsampoint::daemon
