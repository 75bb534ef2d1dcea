#pragma once

#include "balsampoint/edge/traffic.hpp"

#include <map>
#include <memory>
#include <string>

namespace balsampoint::edge {

/**
 * @brief Tests servers whose streams all pause, and tells the requests that
 * pass through one that takes no connection.
 */
class Watch
{
public:
  /**
   * @brief Prepares the watch.
   * @param aTraffic What requests share; outlives the watch.
   */
  explicit Watch(Traffic& aTraffic);

  /** @brief Looks at the servers from now on. */
  void Start();

private:
  using Tests = std::map<std::string, std::shared_ptr<ServerConnection>>;

  void Look();
  void Test(const ServiceId& aService,
            const ServerId& aServer,
            const std::string& aAddress);
  void End(const ServiceId& aService,
           const ServerId& aServer,
           const std::string& aAddress,
           bool aReachable);

  Traffic& mTraffic;
  Timer mTimer;
  ServerPool mConnections;
  Tests mTests;
};

} // namespace balsampoint::edge
