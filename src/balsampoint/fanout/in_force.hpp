#pragma once

#include "balsampoint/core/time.hpp"
#include "balsampoint/fanout/message.hpp"

#include <vector>

namespace balsampoint::fanout {

/** @brief One host with the configuration that it has in force. */
struct HostInForce
{
  HostReport report;
  bool reachable{ false };
  /** Time since the last contact with the host. */
  Duration sinceLastContact{};
};

/** @brief The configurations in force on all hosts, as one host knows them. */
struct InForce
{
  /** Newest accepted configuration that the describing host knows of. */
  ChangeNumber number;
  /** Whether the describing host has led for long enough to have received a
   * report of every reachable host. */
  bool complete{ false };
  /** Known hosts, ordered by id. */
  std::vector<HostInForce> hosts;

  /**
   * @brief Whether every reachable host has a configuration or a newer one in
   * force; false if the list isn't complete.
   * @param aNumber Number of the configuration.
   */
  [[nodiscard]] bool Everywhere(ChangeNumber aNumber) const;
};

} // namespace balsampoint::fanout
