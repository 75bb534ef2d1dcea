#pragma once

#include "balsampoint/daemon/change_runner.hpp"
#include "balsampoint/daemon/consensus_runner.hpp"
#include "balsampoint/daemon/fanout_runner.hpp"
#include "balsampoint/daemon/ledger_runner.hpp"
#include "balsampoint/daemon/member_runner.hpp"
#include "balsampoint/daemon/placement_runner.hpp"
#include "balsampoint/daemon/registry_runner.hpp"
#include "balsampoint/daemon/roster_runner.hpp"
#include "balsampoint/daemon/status_board.hpp"
#include "balsampoint/daemon/usage_runner.hpp"

#include <utility>

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
   * @param aConfigure Puts a configuration in force on this host.
   */
  Runners(ControlMailbox& aMailbox,
          traffic::World& aWorld,
          traffic::ControlGate& aGate,
          peer::Sender& aSender,
          FanoutRunner::Configure aConfigure)
    : mBoard{ aWorld }
    , mMember{ aMailbox, aSender }
    , mRegistry{ aMailbox, aWorld, aSender }
    , mConsensus{ aMailbox, aSender, mBoard }
    , mFanout{ aMailbox, aSender, mBoard, std::move(aConfigure) }
    , mLedger{ aMailbox, aGate, aSender }
    , mChange{ aMailbox, aSender, mBoard, mFanout.InForce(), mLedger }
    , mRoster{ aMailbox, aSender }
    , mUsage{ aSender }
    , mGate{ aGate }
  {
  }

  /** @brief The registry's runner. */
  [[nodiscard]] RegistryRunner& Registry() { return mRegistry; }

  /** @brief The replicated log's runner. */
  [[nodiscard]] ConsensusRunner& Consensus() { return mConsensus; }

  /** @brief The runner of changes. */
  [[nodiscard]] ChangeRunner& Change() { return mChange; }

  /** @brief The roster's runner. */
  [[nodiscard]] RosterRunner& Roster() { return mRoster; }

  /** @brief The runner of the exchange of work in progress. */
  [[nodiscard]] UsageRunner& Usage() { return mUsage; }

  /** @brief The runner of placement. */
  [[nodiscard]] PlacementRunner& Placement() { return mPlacement; }

  /** @brief The fan-out's runner. */
  [[nodiscard]] FanoutRunner& Fanout() { return mFanout; }

  /**
   * @brief Carries out an action of the replicated log.
   * @param aAction The action.
   */
  void Run(const consensus::Action& aAction) { mConsensus.Run(aAction); }

  /**
   * @brief Carries out an action on changes.
   * @param aAction The action.
   */
  void Run(const change::Action& aAction) { mChange.Run(aAction); }

  /**
   * @brief Carries out an action of the roster.
   * @param aAction The action.
   */
  void Run(const roster::Action& aAction) { mRoster.Run(aAction); }

  /**
   * @brief Carries out an action of the exchange of work in progress.
   * @param aAction The action.
   */
  void Run(const usage::Action& aAction) { mUsage.Run(aAction); }

  /**
   * @brief Carries out an action of placement.
   * @param aAction The action.
   */
  void Run(const placement::Action& aAction) { mPlacement.Run(aAction); }

  /**
   * @brief Carries out an action of the fan-out.
   * @param aAction The action.
   */
  void Run(const fanout::Action& aAction) { mFanout.Run(aAction); }

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
  StatusBoard mBoard;
  MemberRunner mMember;
  RegistryRunner mRegistry;
  ConsensusRunner mConsensus;
  FanoutRunner mFanout;
  LedgerRunner mLedger;
  ChangeRunner mChange;
  RosterRunner mRoster;
  UsageRunner mUsage;
  PlacementRunner mPlacement;
  traffic::ControlGate& mGate;
};

} // namespace balsampoint::daemon
