#pragma once

#include "balsampoint/daemon/control.hpp"
#include "balsampoint/daemon/disk_worker.hpp"
#include "balsampoint/daemon/status_board.hpp"
#include "balsampoint/peer/control_codec.hpp"
#include "balsampoint/peer/sender.hpp"
#include "balsampoint/runtime/callback_table.hpp"
#include "balsampoint/runtime/reply_table.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace balsampoint::daemon {

/** @brief Carries out the replicated log's actions. */
class ConsensusRunner
{
public:
  /**
   * @brief Keeps the ways to and from the control thread; all outlive it.
   * @param aMailbox Queue into the control thread.
   * @param aSender Way to other hosts.
   * @param aBoard Collects what operators see.
   */
  ConsensusRunner(ControlMailbox& aMailbox,
                  peer::Sender& aSender,
                  StatusBoard& aBoard);

  /**
   * @brief Gives the disk that writes go to; without one they fail.
   * @param aStore The store.
   */
  void UseDisk(LogStore aStore);

  /**
   * @brief Changes the members and waits until that is committed.
   * @param aMake Makes the event from its ticket.
   * @return Nothing, or why it was refused.
   */
  [[nodiscard]] tl::expected<void, Error> ChangeMembers(
    const std::function<consensus::Event(Ticket)>& aMake);

  /**
   * @brief Passes the leader's office on, if this host has it.
   * @param aWait Time to wait at most.
   */
  void HandOver(Duration aWait);

  /**
   * @brief Asks a quorum whether this host leads, without waiting.
   * @param aConfirmed Called on the control thread.
   */
  void ConfirmLeader(std::function<void(tl::expected<void, Error>)> aConfirmed);

  /** @brief Called on the control thread when the leader changes. */
  using LeaderObserver = std::function<void(const HostId&, consensus::Term)>;

  /**
   * @brief Says who is told of the leader; nobody by default.
   * @param aObserver Told of it.
   */
  void ObserveLeader(LeaderObserver aObserver)
  {
    mObserver = std::move(aObserver);
  }

  /** @brief Called on the control thread when the members change. */
  using MembersObserver = std::function<void(const consensus::Membership&)>;

  /**
   * @brief Says who is told of the members; nobody by default.
   * @param aObserver Told of them.
   */
  void ObserveMembers(MembersObserver aObserver)
  {
    mMembersObserver = std::move(aObserver);
  }

  /**
   * @brief Carries out one action.
   * @param aAction The action.
   */
  void Run(const consensus::Action& aAction);

private:
  void Do(const consensus::Send& aSend);
  void Do(const consensus::Persist& aPersist);
  void Do(const consensus::Apply& aApply);
  void Do(const consensus::Restore& aRestore);
  void Do(const consensus::TakeSnapshot& aTake);
  void Do(const consensus::Refused& aRefused);
  void Do(const consensus::MembersChanged& aChanged);
  void Do(const consensus::LeaderConfirmed& aConfirmed);
  void Do(const consensus::LeaderChanged& aChanged);
  void Do(const consensus::LeadershipEstablished& aEstablished);
  void Do(const consensus::MembersUpdated& aUpdated);
  void Do(const consensus::LeaderMissing& aMissing);
  void Do(const consensus::RecoveryEnded& aEnded);
  void Do(const consensus::HandOverEnded& aEnded);
  void Do(const consensus::StatusReady& aReady);

  using Replies = runtime::ReplyTable<tl::expected<void, Error>>;

  ControlMailbox& mMailbox;
  peer::Sender& mSender;
  StatusBoard& mBoard;
  std::unique_ptr<DiskWorker> mDisk;
  Replies mReplies;
  runtime::CallbackTable<tl::expected<void, Error>> mConfirmations;
  LeaderObserver mObserver;
  MembersObserver mMembersObserver;
  Replies mHandOvers;
  Ticket mHandOverTicket;
  /** Last one logged since a leader was known; repeats are not logged. */
  std::optional<consensus::LeaderMissing> mLeaderMissing;
};

} // namespace balsampoint::daemon
