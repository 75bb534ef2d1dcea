#pragma once

#include "balsampoint/usage/message.hpp"

#include <map>
#include <span>
#include <vector>

namespace balsampoint::usage::internal {

/** @brief Sum of the work of several hosts by server. */
class Totals
{
public:
  /**
   * @brief Adds the work of one or more hosts.
   * @param aServers The work.
   */
  void Add(std::span<const ServerUsage> aServers);

  /** @brief The sum; servers without work are left out. */
  [[nodiscard]] std::vector<ServerUsage> Servers() const;

  /**
   * @brief The sum without the work of one of the hosts.
   * @param aOwn Work of that host, which has been added before.
   */
  [[nodiscard]] std::vector<ServerUsage> Without(
    std::span<const ServerUsage> aOwn) const;

private:
  std::map<ServerId, ServerUsage> mServers;
};

} // namespace balsampoint::usage::internal
