#pragma once

#include "balsampoint/edge/traffic_state.hpp"
#include "balsampoint/exchange/action.hpp"

namespace balsampoint::edge {

/** @brief Runs the actions that only concern what all requests of this host
 * share: its link to the servers and its counts. */
class SharedActions
{
public:
  /**
   * @brief Runs them on the state of the traffic thread.
   * @param aTraffic The state; outlives this object.
   */
  explicit SharedActions(TrafficState& aTraffic)
    : mTraffic{ aTraffic }
  {
  }

  void Run(const exchange::ConfirmLink& /*aConfirm*/)
  {
    mTraffic.links.OnConnected();
  }
  void Run(const exchange::SuspectLink& /*aSuspect*/)
  {
    mTraffic.links.OnConnectionFailed();
  }
  void Run(const exchange::CountRecovery& /*aCount*/)
  {
    mTraffic.metrics.Add(trace::Count::Recoveries);
  }
  void Run(const exchange::CountCallerGone& /*aCount*/)
  {
    mTraffic.metrics.Add(trace::Outcome::CallerGone);
  }

private:
  TrafficState& mTraffic;
};

} // namespace balsampoint::edge
