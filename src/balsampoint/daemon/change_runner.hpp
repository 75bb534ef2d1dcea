#pragma once

#include "balsampoint/daemon/control.hpp"
#include "balsampoint/daemon/ledger_runner.hpp"
#include "balsampoint/daemon/status_board.hpp"
#include "balsampoint/http/operations.hpp"
#include "balsampoint/peer/sender.hpp"
#include "balsampoint/runtime/callback_table.hpp"
#include "balsampoint/runtime/reply_table.hpp"
#include "balsampoint/runtime/snapshot_cell.hpp"

namespace balsampoint::daemon {

/** @brief Carries out the actions on changes and takes operators' changes in.
 */
class ChangeRunner
{
public:
  /**
   * @brief Keeps the ways to and from the control thread; all outlive it.
   * @param aMailbox Queue into the control thread.
   * @param aSender Way to other hosts.
   * @param aBoard Collects what operators see.
   * @param aInForce The configuration in force on this host.
   * @param aLedger Has the other table of a snapshot.
   */
  ChangeRunner(ControlMailbox& aMailbox,
               peer::Sender& aSender,
               StatusBoard& aBoard,
               runtime::SnapshotCell<fanout::Content>& aInForce,
               const LedgerRunner& aLedger);

  /**
   * @brief Submits a change and waits for its answer.
   * @param aRequest The change.
   * @return The answer, or why there is none.
   */
  [[nodiscard]] tl::expected<change::Answer, Error> Submit(
    const http::ChangeRequest& aRequest);

  /** @brief How a change ended. */
  using Result = tl::expected<change::Answer, Error>;

  /**
   * @brief Submits a change without waiting.
   * @param aChange The change.
   * @param aAnswered Called on the control thread.
   */
  void Submit(change::Change aChange, std::function<void(Result)> aAnswered);

  /**
   * @brief Reads the configuration as this host's log has it.
   * @param aRead Called on the control thread.
   */
  void Read(std::function<void(fanout::Content)> aRead);

  /**
   * @brief Carries out one action.
   * @param aAction The action.
   */
  void Run(const change::Action& aAction);

private:
  [[nodiscard]] change::Change MakeChange(
    const http::ChangeRequest& aRequest) const;
  void Do(const change::Send& aSend);
  void Do(const change::Propose& aPropose);
  void Do(const change::Answered& aAnswered);
  void Do(const change::Accepted& aAccepted);
  void Do(const change::LeadershipEstablished& aLeading);
  void Do(const change::SnapshotReady& aReady);
  void Do(const change::ReadReady& aReady);

  ControlMailbox& mMailbox;
  peer::Sender& mSender;
  StatusBoard& mBoard;
  runtime::SnapshotCell<fanout::Content>& mInForce;
  const LedgerRunner& mLedger;
  runtime::ReplyTable<Result> mAnswers;
  runtime::CallbackTable<Result> mCallbacks;
  runtime::CallbackTable<fanout::Content> mReads;
};

} // namespace balsampoint::daemon
