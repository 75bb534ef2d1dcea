#pragma once

#include "balsampoint/core/time.hpp"
#include "balsampoint/fanout/message.hpp"

#include <vector>

namespace balsampoint::fanout {

/** @brief One host and the configuration it has in force. */
struct HostInForce
{
  HostReport report;
  bool reachable{ false };
  /** Time since it was last heard of. */
  Duration silence{};
};

/** @brief Which hosts have which configuration in force. */
struct InForce
{
  /** Newest accepted configuration that the asked host knows. */
  ChangeNumber number;
  /** Whether the asked host leads for long enough to have heard of all. */
  bool complete{ false };
  /** All hosts in the order of their ids. */
  std::vector<HostInForce> hosts;

  /**
   * @brief Whether every reachable host has a configuration in force.
   * @param aNumber Its number.
   */
  [[nodiscard]] bool Everywhere(ChangeNumber aNumber) const;
};

} // namespace balsampoint::fanout
