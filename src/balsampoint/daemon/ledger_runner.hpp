#pragma once

#include "balsampoint/daemon/control.hpp"
#include "balsampoint/peer/sender.hpp"
#include "balsampoint/traffic/control_gate.hpp"

#include <optional>

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

  /**
   * @brief The encoded table that was asked for by `SnapshotWanted`.
   * @param aIndex Last command that it has to cover.
   * @return Its bytes, or nothing when another index was asked for.
   */
  [[nodiscard]] std::optional<ByteVector> SnapshotAt(
    std::uint64_t aIndex) const;

private:
  void Do(const ledger::Send& aSend);
  void Do(const ledger::Replicate& aReplicate);
  void Do(const ledger::Decided& aDecided);
  void Do(const ledger::CommandFailed& aFailed);
  void Do(const ledger::SnapshotReady& aReady);

  ControlMailbox& mMailbox;
  traffic::ControlGate& mGate;
  peer::Sender& mSender;
  std::uint64_t mSnapshotIndex{};
  ByteVector mSnapshot;
};

} // namespace balsampoint::daemon
