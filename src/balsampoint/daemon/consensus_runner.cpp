#include "balsampoint/daemon/consensus_runner.hpp"

#include "balsampoint/daemon/post.hpp"
#include "balsampoint/daemon/proposal_ticket.hpp"
#include "balsampoint/peer/change_codec.hpp"
#include "balsampoint/peer/consensus_codec.hpp"
#include "balsampoint/peer/ledger_codec.hpp"
#include "balsampoint/trace/event.hpp"

#include <spdlog/spdlog.h>
#include <string>
#include <utility>

namespace balsampoint::daemon {

namespace {

constexpr Duration kMembersWait = std::chrono::seconds{ 10 };

/** @brief A committed record that can't be read must not be passed over. */
template<typename Decoded>
Decoded
Require(tl::expected<Decoded, Error> aDecoded)
{
  if (!aDecoded) {
    throw Failure{ aDecoded.error() };
  }
  return std::move(*aDecoded);
}

/** @brief Adds a member to a comma-separated list. */
void
AppendTo(std::string& aList, const consensus::Member& aMember)
{
  if (!aList.empty()) {
    aList += ',';
  }
  aList += aMember.host.Value();
  if (!aMember.replaces.Empty()) {
    aList += " for ";
    aList += aMember.replaces.Value();
  }
}

} // namespace

ConsensusRunner::ConsensusRunner(ControlMailbox& aMailbox,
                                 peer::Sender& aSender,
                                 StatusBoard& aBoard)
  : mMailbox{ aMailbox }
  , mSender{ aSender }
  , mBoard{ aBoard }
{
}

void
ConsensusRunner::UseDisk(LogStore aStore)
{
  mDisk = std::make_unique<DiskWorker>(mMailbox, std::move(aStore));
}

tl::expected<void, Error>
ConsensusRunner::ChangeMembers(
  const std::function<consensus::Event(Ticket)>& aMake)
{
  Replies::Waiter waiter{ mReplies };
  Post(mMailbox, aMake(waiter.Number()));
  if (auto reply = waiter.Wait(kMembersWait)) {
    return *reply;
  }
  return Refuse(ErrorKind::OutcomeUnknown,
                "the change of members was not committed in time");
}

void
ConsensusRunner::HandOver(Duration aWait)
{
  Replies::Waiter waiter{ mHandOvers };
  mHandOverTicket = waiter.Number();
  Post(mMailbox, consensus::Event{ consensus::HandOver{} });
  if (!waiter.Wait(aWait)) {
    spdlog::warn("the hand-over did not end in time");
  }
}

void
ConsensusRunner::Run(const consensus::Action& aAction)
{
  std::visit([this](const auto& aOne) { Do(aOne); }, aAction);
}

void
ConsensusRunner::Do(const consensus::Send& aSend)
{
  mSender.Send(
    aSend.to, peer::ModuleTag::Consensus, peer::Encode(aSend.message));
}

void
ConsensusRunner::Do(const consensus::Persist& aPersist)
{
  if (mDisk) {
    mDisk->Write(aPersist);
    return;
  }
  Post(mMailbox,
       consensus::Event{ consensus::StorageFailure{
         aPersist.write,
         MakeError(ErrorKind::StorageFailed, "this host has no disk") } });
}

void
ConsensusRunner::Do(const consensus::Apply& aApply)
{
  const auto command = Require(peer::DecodeControlCommand(aApply.command));
  switch (command.table) {
    case peer::TableTag::Change:
      Post(mMailbox,
           change::Event{
             change::Committed{ WithinOwner(aApply.ticket),
                                Require(peer::DecodeChange(command.body)) } });
      return;
    case peer::TableTag::Ledger:
      Post(mMailbox,
           ledger::Event{
             ledger::Applied{ Require(peer::DecodeLedgerCommand(command.body)),
                              WithinOwner(aApply.ticket) } });
      return;
    case peer::TableTag::Orders:
      break;
  }
  throw Failure{ MakeError(ErrorKind::StorageFailed,
                           "the log holds a command of an unknown table") };
}

void
ConsensusRunner::Do(const consensus::Restore& aRestore)
{
  const auto tables = Require(peer::DecodeControlSnapshot(aRestore.data));
  const auto claims = tables.find(peer::TableTag::Ledger);
  const ledger::Bounds bounds;
  Post(mMailbox,
       ledger::Event{ ledger::Restored{
         claims == tables.end()
           ? ledger::Table{ .bounds = bounds }
           : Require(peer::DecodeLedgerTable(claims->second, bounds)) } });
  const auto changes = tables.find(peer::TableTag::Change);
  if (changes != tables.end()) {
    Post(mMailbox,
         change::Event{ change::Restored{
           Require(peer::DecodeChangeTable(changes->second)) } });
  }
}

void
ConsensusRunner::Do(const consensus::TakeSnapshot& aTake)
{
  // Both stand in the queue behind the commands that the snapshot covers; the
  // change table's answer picks up the ledger's.
  Post(mMailbox,
       ledger::Event{ ledger::SnapshotWanted{ aTake.index.Value() } });
  Post(mMailbox,
       change::Event{ change::SnapshotRequested{ aTake.index.Value() } });
}

void
ConsensusRunner::Do(const consensus::Refused& aRefused)
{
  if (OwnerOf(aRefused.ticket) ==
      static_cast<std::uint64_t>(peer::TableTag::Change)) {
    Post(mMailbox,
         change::Event{ change::ProposalRefused{ WithinOwner(aRefused.ticket),
                                                 aRefused.error.executed } });
    return;
  }
  if (OwnerOf(aRefused.ticket) ==
      static_cast<std::uint64_t>(peer::TableTag::Ledger)) {
    Post(mMailbox,
         ledger::Event{
           ledger::ReplicateRefused{ WithinOwner(aRefused.ticket) } });
    return;
  }
  if (!mConfirmations.Complete(aRefused.ticket,
                               tl::unexpected(aRefused.error))) {
    mReplies.Complete(aRefused.ticket, tl::unexpected(aRefused.error));
  }
}

void
ConsensusRunner::Do(const consensus::MembersChanged& aChanged)
{
  mReplies.Complete(aChanged.ticket, {});
}

void
ConsensusRunner::Do(const consensus::LeaderConfirmed& aConfirmed)
{
  if (!mConfirmations.Complete(aConfirmed.ticket, {})) {
    mReplies.Complete(aConfirmed.ticket, {});
  }
}

void
ConsensusRunner::ConfirmLeader(
  std::function<void(tl::expected<void, Error>)> aConfirmed)
{
  const auto ticket = mConfirmations.Open(std::move(aConfirmed));
  Post(mMailbox, consensus::Event{ consensus::ConfirmLeader{ ticket } });
}

void
ConsensusRunner::Do(const consensus::LeaderChanged& aChanged)
{
  spdlog::info(
    "term {}: leader '{}'", aChanged.term.Value(), aChanged.leader.Value());
  if (!aChanged.leader.Empty()) {
    mLeaderMissing.reset();
  }
  Post(mMailbox, change::Event{ change::LeaderKnown{ aChanged.leader } });
  Post(mMailbox,
       fanout::Event{ fanout::LeaderChanged{ .leader = aChanged.leader,
                                             .caughtUp = false } });
  Post(mMailbox, ledger::Event{ ledger::LeaderChanged{ aChanged.leader } });
  if (mObserver) {
    mObserver(aChanged.leader, aChanged.term);
  }
}

void
ConsensusRunner::Do(const consensus::LeadershipEstablished& aEstablished)
{
  // Behind the commands that were applied before.
  Post(mMailbox,
       change::Event{ change::LeadershipEstablished{ aEstablished.leader } });
}

void
ConsensusRunner::Do(const consensus::MembersUpdated& aUpdated)
{
  std::string voters;
  std::string learners;
  for (const auto& member : aUpdated.members.members) {
    const bool votes = member.role == consensus::MemberRole::Voter;
    AppendTo(votes ? voters : learners, member);
  }
  trace::Event{ "control_members" }
    .With("index", aUpdated.index.Value())
    .With("voters", voters)
    .With("learners", learners);
  if (mMembersObserver) {
    mMembersObserver(aUpdated.members);
  }
}

void
ConsensusRunner::Do(const consensus::LeaderMissing& aMissing)
{
  if (mLeaderMissing == aMissing) {
    return;
  }
  mLeaderMissing = aMissing;
  std::string granted;
  for (const auto& host : aMissing.granted) {
    AppendTo(granted, { .host = host });
  }
  trace::Event{ "leader_missing" }
    .With("term", aMissing.term.Value())
    .With("recovering", aMissing.recovering ? "yes" : "no")
    .With("granted", granted);
}

void
ConsensusRunner::Do(const consensus::RecoveryEnded& aEnded)
{
  trace::Event{ "recovery_ended" }.With("index", aEnded.index.Value());
}

void
ConsensusRunner::Do(const consensus::HandOverEnded& aEnded)
{
  spdlog::info("hand-over {}", aEnded.done ? "done" : "failed");
  mHandOvers.Complete(mHandOverTicket, {});
}

void
ConsensusRunner::Do(const consensus::StatusReady& aReady)
{
  mBoard.Show(aReady.status);
}

} // namespace balsampoint::daemon
