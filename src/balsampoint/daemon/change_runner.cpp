#include "balsampoint/daemon/change_runner.hpp"

#include "balsampoint/change/delta.hpp"
#include "balsampoint/config/query/sections.hpp"
#include "balsampoint/daemon/digest.hpp"
#include "balsampoint/daemon/post.hpp"
#include "balsampoint/daemon/proposal_ticket.hpp"
#include "balsampoint/peer/change_codec.hpp"

#include <utility>

namespace balsampoint::daemon {

namespace {

/** @brief Longer than the module's own limit, which gives the exact answer. */
constexpr Duration kAnswerWait = std::chrono::seconds{ 12 };

} // namespace

ChangeRunner::ChangeRunner(ControlMailbox& aMailbox,
                           peer::Sender& aSender,
                           StatusBoard& aBoard,
                           runtime::SnapshotCell<fanout::Content>& aInForce,
                           const LedgerRunner& aLedger)
  : mMailbox{ aMailbox }
  , mSender{ aSender }
  , mBoard{ aBoard }
  , mInForce{ aInForce }
  , mLedger{ aLedger }
{
}

change::Change
ChangeRunner::MakeChange(const http::ChangeRequest& aRequest) const
{
  change::Change change{ .number = aRequest.number,
                         .id = aRequest.change,
                         .author = aRequest.by,
                         .digest = Sha256(
                           { std::to_string(aRequest.number.Value()) + "\n",
                             aRequest.document }) };
  auto sections = config::SplitSections(aRequest.document);
  const auto inForce = mInForce.Read();
  if (inForce && inForce->number.Next() == aRequest.number) {
    change.delta = change::Difference(*inForce->sections, sections);
  } else {
    change.whole = true;
    change.delta.upserts = std::move(sections);
  }
  return change;
}

tl::expected<change::Answer, Error>
ChangeRunner::Submit(const http::ChangeRequest& aRequest)
{
  decltype(mAnswers)::Waiter waiter{ mAnswers };
  const bool posted = mMailbox.Push(
    change::Event{ change::Submit{ waiter.Number(), MakeChange(aRequest) } });
  if (!posted) {
    return Refuse(ErrorKind::Overloaded, "the control queue is full");
  }
  if (auto answer = waiter.Wait(kAnswerWait)) {
    return std::move(*answer);
  }
  return Refuse(ErrorKind::OutcomeUnknown, "the control thread is late");
}

void
ChangeRunner::Submit(change::Change aChange,
                     std::function<void(Result)> aAnswered)
{
  const auto ticket = mCallbacks.Open(std::move(aAnswered));
  if (!mMailbox.Push(
        change::Event{ change::Submit{ ticket, std::move(aChange) } })) {
    mCallbacks.Complete(
      ticket, Refuse(ErrorKind::Overloaded, "the control queue is full"));
  }
}

void
ChangeRunner::Read(std::function<void(fanout::Content)> aRead)
{
  Post(mMailbox,
       change::Event{ change::ReadRequested{ mReads.Open(std::move(aRead)) } });
}

void
ChangeRunner::Run(const change::Action& aAction)
{
  std::visit([this](const auto& aOne) { Do(aOne); }, aAction);
}

void
ChangeRunner::Do(const change::Send& aSend)
{
  mSender.Send(aSend.to, peer::ModuleTag::Change, peer::Encode(aSend.message));
}

void
ChangeRunner::Do(const change::Propose& aPropose)
{
  const auto table = peer::TableTag::Change;
  Post(mMailbox,
       consensus::Event{
         consensus::Propose{ ProposalTicket(table, aPropose.ticket),
                             peer::Encode(peer::ControlCommand{
                               table, peer::Encode(aPropose.change) }) } });
}

void
ChangeRunner::Do(const change::Answered& aAnswered)
{
  if (!mCallbacks.Complete(aAnswered.ticket, aAnswered.result)) {
    mAnswers.Complete(aAnswered.ticket, aAnswered.result);
  }
}

void
ChangeRunner::Do(const change::ReadReady& aReady)
{
  mReads.Complete(aReady.ticket, { aReady.number, aReady.sections });
}

void
ChangeRunner::Do(const change::Accepted& aAccepted)
{
  mBoard.Show(aAccepted.changes);
  Post(
    mMailbox,
    fanout::Event{ fanout::Accepted{ aAccepted.number, aAccepted.sections } });
}

void
ChangeRunner::Do(const change::LeadershipEstablished& aLeading)
{
  Post(mMailbox,
       fanout::Event{ fanout::LeaderChanged{ .leader = aLeading.leader,
                                             .caughtUp = true } });
}

void
ChangeRunner::Do(const change::SnapshotReady& aReady)
{
  peer::ControlSnapshot tables{ { peer::TableTag::Change,
                                  peer::Encode(aReady.table) } };
  auto claims = mLedger.SnapshotAt(aReady.index);
  if (!claims) {
    throw Failure{ MakeError(ErrorKind::Internal,
                             "the snapshot lacks the table of keys") };
  }
  tables.emplace(peer::TableTag::Ledger, std::move(*claims));
  Post(mMailbox,
       consensus::Event{ consensus::SnapshotTaken{
         consensus::Index{ aReady.index }, peer::Encode(tables) } });
}

} // namespace balsampoint::daemon
