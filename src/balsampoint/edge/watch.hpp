#pragma once

#include "balsampoint/edge/traffic.hpp"

#include <map>
#include <memory>
#include <string>

namespace balsampoint::edge {

/**
 * @brief Probes servers whose streams have all paused, and notifies the
 * requests in progress of a server that accepts no connection.
 */
class Watch
{
public:
  /**
   * @brief Makes a prober that is not started yet.
   * @param aTraffic State of the traffic thread; outlives the prober.
   */
  explicit Watch(Traffic& aTraffic);

  /** @brief Starts to poll the servers. */
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
