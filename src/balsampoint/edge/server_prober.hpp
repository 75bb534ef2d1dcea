#pragma once

#include "balsampoint/edge/traffic_state.hpp"

#include <map>
#include <memory>
#include <string>

namespace balsampoint::edge {

/**
 * @brief Probes servers whose streams have all paused, and notifies the
 * requests in progress of a server that accepts no connection.
 */
class ServerProber
{
public:
  /**
   * @brief Makes a prober that is not started yet.
   * @param aTraffic State of the traffic thread; outlives the prober.
   */
  explicit ServerProber(TrafficState& aTraffic);

  /** @brief Starts to poll the servers. */
  void Start();

private:
  using Probes = std::map<std::string, std::shared_ptr<ServerConnection>>;

  void Poll();
  void Probe(const ServiceId& aService,
             const ServerId& aServer,
             const std::string& aAddress);
  void OnProbeResult(const ServiceId& aService,
                     const ServerId& aServer,
                     const std::string& aAddress,
                     bool aReachable);
  void OnServerLost(const ServiceId& aService,
                    const ServerId& aServer,
                    const std::string& aAddress);

  TrafficState& mTraffic;
  net::Timer mTimer;
  ServerConnections mConnections;
  Probes mProbes;
};

} // namespace balsampoint::edge
