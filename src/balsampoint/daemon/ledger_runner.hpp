#pragma once

#include "balsampoint/daemon/control.hpp"
#include "balsampoint/peer/sender.hpp"
#include "balsampoint/traffic/control_gate.hpp"

namespace balsampoint::daemon {

/** @brief Carries out the ledger's actions. */
class LedgerRunner
{
public:
  /**
   * @brief Keeps the ways to and from the control thread; all outlive it.
   * @param aMailbox Queue into the control thread.
   * @param aGate Where traffic threads wait for outcomes.
   * @param aSender Way to other hosts.
   */
  LedgerRunner(ControlMailbox& aMailbox,
               traffic::ControlGate& aGate,
               peer::Sender& aSender);

  /**
   * @brief Carries out one action.
   * @param aAction The action.
   */
  void Run(const ledger::Action& aAction);

private:
  void Do(const ledger::Send& aSend);
  void Do(const ledger::Replicate& aReplicate);
  void Do(const ledger::Decided& aDecided);
  void Do(const ledger::Lost& aLost);

  ControlMailbox& mMailbox;
  traffic::ControlGate& mGate;
  peer::Sender& mSender;
};

} // namespace balsampoint::daemon
