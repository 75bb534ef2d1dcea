#pragma once

#include "balsampoint/daemon/ledger_runner.hpp"
#include "balsampoint/daemon/member_runner.hpp"
#include "balsampoint/daemon/registry_runner.hpp"

namespace balsampoint::daemon {

/** @brief Carries out the actions of all modules, each by its runner. */
class Runners
{
public:
  /**
   * @brief Makes the runners; the arguments outlive them.
   * @param aMailbox Queue into the control thread.
   * @param aWorld What traffic threads read.
   * @param aGate Where traffic threads wait.
   * @param aSender Way to other hosts.
   */
  Runners(ControlMailbox& aMailbox,
          traffic::World& aWorld,
          traffic::ControlGate& aGate,
          peer::Sender& aSender)
    : mMember{ aMailbox, aSender }
    , mRegistry{ aMailbox, aWorld, aSender }
    , mLedger{ aMailbox, aGate, aSender }
    , mGate{ aGate }
  {
  }

  /** @brief The registry's runner. */
  [[nodiscard]] RegistryRunner& Registry() { return mRegistry; }

  /**
   * @brief Carries out an action of the membership.
   * @param aAction The action.
   */
  void Run(const member::Action& aAction) { mMember.Run(aAction); }

  /**
   * @brief Carries out an action of the registry.
   * @param aAction The action.
   */
  void Run(const registry::Action& aAction) { mRegistry.Run(aAction); }

  /**
   * @brief Answers a thread that wants a server for an attempt.
   * @param aAction The answer.
   */
  void Run(const retry::Action& aAction) { mGate.Complete(aAction); }

  /**
   * @brief Answers a thread that wants admission.
   * @param aAction The answer.
   */
  void Run(const limit::Action& aAction) { mGate.Complete(aAction); }

  /**
   * @brief Carries out an action of the ledger.
   * @param aAction The action.
   */
  void Run(const ledger::Action& aAction) { mLedger.Run(aAction); }

private:
  MemberRunner mMember;
  RegistryRunner mRegistry;
  LedgerRunner mLedger;
  traffic::ControlGate& mGate;
};

} // namespace balsampoint::daemon
