#pragma once

#include "balsampoint/traffic/world.hpp"

#include <thread>

namespace balsampoint::traffic {

/**
 * @brief Keeps the table of routes up to date on a thread of its own.
 *
 * The maximum flow takes too long for the control thread where there are many
 * servers. Until a new flow is known, requests use the cheapest chain.
 */
class RoutePlanner
{
public:
  /**
   * @brief Starts planning.
   * @param aWorld Where changes come from and tables go; outlives the object.
   */
  explicit RoutePlanner(World& aWorld);

  RoutePlanner(const RoutePlanner&) = delete;
  RoutePlanner& operator=(const RoutePlanner&) = delete;
  RoutePlanner(RoutePlanner&&) = delete;
  RoutePlanner& operator=(RoutePlanner&&) = delete;

  /** @brief Stops after the flow that is being worked out. */
  ~RoutePlanner();

private:
  void Run();
  void Plan();

  World& mWorld;
  std::uint64_t mFlowNumber{};
  std::thread mThread;
};

} // namespace balsampoint::traffic
