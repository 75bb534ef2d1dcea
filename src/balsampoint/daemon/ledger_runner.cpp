#include "balsampoint/daemon/ledger_runner.hpp"

#include "balsampoint/daemon/post.hpp"
#include "balsampoint/daemon/proposal_ticket.hpp"
#include "balsampoint/peer/ledger_codec.hpp"

#include <variant>

namespace balsampoint::daemon {

LedgerRunner::LedgerRunner(ControlMailbox& aMailbox,
                           traffic::ControlGate& aGate,
                           peer::Sender& aSender)
  : mMailbox{ aMailbox }
  , mGate{ aGate }
  , mSender{ aSender }
{
}

void
LedgerRunner::Run(const ledger::Action& aAction)
{
  std::visit([this](const auto& aOne) { Do(aOne); }, aAction);
}

void
LedgerRunner::Do(const ledger::Send& aSend)
{
  mSender.Send(aSend.to, peer::ModuleTag::Ledger, peer::Encode(aSend.message));
}

void
LedgerRunner::Do(const ledger::Replicate& aReplicate)
{
  const auto table = peer::TableTag::Ledger;
  Post(mMailbox,
       consensus::Event{
         consensus::Propose{ ProposalTicket(table, aReplicate.ticket),
                             peer::Encode(peer::ControlCommand{
                               table, peer::Encode(aReplicate.command) }) } });
}

void
LedgerRunner::Do(const ledger::Decided& aDecided)
{
  mGate.Complete(aDecided);
}

void
LedgerRunner::Do(const ledger::CommandFailed& aFailed)
{
  mGate.Complete(aFailed);
}

void
LedgerRunner::Do(const ledger::SnapshotReady& aReady)
{
  mSnapshotIndex = aReady.index;
  mSnapshot = peer::Encode(*aReady.table);
}

std::optional<ByteVector>
LedgerRunner::SnapshotAt(std::uint64_t aIndex) const
{
  if (aIndex != mSnapshotIndex) {
    return std::nullopt;
  }
  return mSnapshot;
}

} // namespace balsampoint::daemon
