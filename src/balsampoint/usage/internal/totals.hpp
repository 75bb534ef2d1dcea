#pragma once

#include "balsampoint/usage/message.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace balsampoint::usage::internal {

/** @brief Sum of the work of several hosts by server. */
class Totals
{
public:
  /**
   * @brief Adds the work of one or more hosts. Of several statements about the
   * rate of one server, and of several rejections, the newest counts.
   * @param aServers The work.
   * @param aHeldFor Time since the report arrived here.
   */
  void Add(std::span<const ServerUsage> aServers, Duration aHeldFor);

  /**
   * @brief Adds the demand of one or more hosts.
   * @param aServices The demand.
   */
  void Add(std::span<const ServiceUsage> aServices);

  /** @brief The sum; servers without work are left out. */
  [[nodiscard]] std::vector<ServerUsage> Servers() const;

  /**
   * @brief The sum without the work of one of the hosts.
   * @param aOwn Work of that host, which has been added before.
   */
  [[nodiscard]] std::vector<ServerUsage> Without(
    std::span<const ServerUsage> aOwn) const;

  /** @brief The demand for each service. */
  [[nodiscard]] std::vector<ServiceUsage> Services() const;

  /**
   * @brief The demand without that of one of the hosts.
   * @param aOwn Demand of that host, which has been added before.
   */
  [[nodiscard]] std::vector<ServiceUsage> Without(
    std::span<const ServiceUsage> aOwn) const;

private:
  /** Demand for one service. */
  struct Demand
  {
    double demand{};
    std::map<std::uint32_t, double> kvPerSecond;
  };

  std::map<ServerId, ServerUsage> mServers;
  std::map<ServiceId, Demand> mDemand;
};

} // namespace balsampoint::usage::internal
