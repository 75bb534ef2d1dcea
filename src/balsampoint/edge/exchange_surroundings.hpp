#pragma once

#include "balsampoint/edge/admission.hpp"
#include "balsampoint/edge/crash_watch.hpp"
#include "balsampoint/edge/server_choice.hpp"
#include "balsampoint/edge/traffic_state.hpp"
#include "balsampoint/exchange/action.hpp"
#include "balsampoint/exchange/event.hpp"
#include "balsampoint/exchange/state.hpp"
#include "balsampoint/exchange/surroundings.hpp"

#include <set>
#include <vector>

namespace balsampoint::edge {

/** @brief What the traffic state knows that the decisions on one admitted
 * request need. */
class ExchangeSurroundings
{
public:
  /**
   * @brief Makes the surroundings of a request.
   * @param aTraffic State of the traffic thread.
   * @param aAdmission The request; admitted before anything is asked.
   * @param aParameters Its parameters.
   * @param aCrashWatch What happens to servers under it.
   */
  ExchangeSurroundings(TrafficState& aTraffic,
                       const Admission& aAdmission,
                       const RequestParameters& aParameters,
                       CrashWatch& aCrashWatch)
    : mTraffic{ aTraffic }
    , mAdmission{ aAdmission }
    , mParameters{ aParameters }
    , mCrashWatch{ aCrashWatch }
  {
  }

  bool TakeRetry(forward::RetryPurpose aPurpose)
  {
    return mTraffic.budget.TakeRetry(
      mAdmission.service->id, aPurpose, TrafficState::Now());
  }
  void RecordBreak(const fleet::Hop& aServer, ServerBreak aBreak)
  {
    mCrashWatch.OnServerBroke(mTraffic, aServer, aBreak);
  }
  [[nodiscard]] bool MayRetry() const { return mCrashWatch.MayRetry(mTraffic); }
  [[nodiscard]] bool MayResume() const { return mCrashWatch.MayResume(); }
  [[nodiscard]] bool MustWait() const { return mCrashWatch.MustWait(mTraffic); }
  [[nodiscard]] bool MayRepeat() const
  {
    return mCrashWatch.MayRepeat(mTraffic);
  }
  [[nodiscard]] bool InQuarantine() const
  {
    return mCrashWatch.InQuarantine(mTraffic);
  }
  [[nodiscard]] Duration RepeatDelay() const
  {
    return mTraffic.quarantine.settings.repeatDelay;
  }
  bool HasRoom(const std::set<ServerId>& aFailed,
               const std::set<ServerId>& aReceivers)
  {
    return OtherChainHasRoom(mTraffic,
                             *mAdmission.service,
                             mParameters,
                             { .failed = aFailed, .receivers = aReceivers });
  }

private:
  TrafficState& mTraffic;
  const Admission& mAdmission;
  const RequestParameters& mParameters;
  CrashWatch& mCrashWatch;
};

/**
 * @brief `exchange::Handle` with these surroundings, compiled once.
 * @param aState The request.
 * @param aEvent What happened.
 * @param aSurroundings What the traffic state knows.
 * @param aActions Actions are appended here, in the order to run them.
 */
void
HandleEvent(exchange::State& aState,
            const exchange::Event& aEvent,
            ExchangeSurroundings& aSurroundings,
            std::vector<exchange::Action>& aActions);

} // namespace balsampoint::edge
