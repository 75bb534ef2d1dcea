#pragma once

#include "balsampoint/config/document.hpp"
#include "balsampoint/daemon/control.hpp"
#include "balsampoint/daemon/status_board.hpp"
#include "balsampoint/peer/sender.hpp"
#include "balsampoint/runtime/reply_table.hpp"
#include "balsampoint/runtime/snapshot_cell.hpp"

#include <functional>
#include <thread>

namespace balsampoint::daemon {

/** @brief Carries out the fan-out's actions and puts configurations in force.
 *
 * A thread of its own reads a configuration's text, so that the control thread
 * doesn't wait for it.
 */
class FanoutRunner
{
public:
  /** @brief Puts a configuration in force on this host, or says why not. */
  using Configure =
    std::function<tl::expected<void, Error>(const fanout::Content&)>;

  /**
   * @brief Starts the thread; the references outlive the runner.
   * @param aMailbox Queue into the control thread.
   * @param aSender Way to other hosts.
   * @param aBoard Collects what operators see.
   * @param aConfigure Called for the newest configuration, in order.
   */
  FanoutRunner(ControlMailbox& aMailbox,
               peer::Sender& aSender,
               StatusBoard& aBoard,
               Configure aConfigure);

  FanoutRunner(const FanoutRunner&) = delete;
  FanoutRunner& operator=(const FanoutRunner&) = delete;
  FanoutRunner(FanoutRunner&&) = delete;
  FanoutRunner& operator=(FanoutRunner&&) = delete;

  /** @brief Joins the thread. */
  ~FanoutRunner();

  /** @brief The configuration in force on this host. */
  [[nodiscard]] runtime::SnapshotCell<fanout::Content>& InForce()
  {
    return mInForce;
  }

  /**
   * @brief Waits until all reachable hosts have a configuration in force.
   * @param aNumber Its number.
   * @param aWait Time to wait at most.
   * @return What the leader knows of all hosts; nothing if it did not answer.
   */
  [[nodiscard]] std::vector<fanout::HostReport> Await(ChangeNumber aNumber,
                                                      Duration aWait);

  /** @brief Finds standby hosts of the replicated log through the tree, for
   * hosts without a roster of control hosts; call before the first action. */
  void FindStandbyHosts() { mFindsStandbyHosts = true; }

  /**
   * @brief Carries out one action.
   * @param aAction The action.
   */
  void Run(const fanout::Action& aAction);

private:
  void Do(const fanout::Send& aSend);
  void Do(const fanout::Route& aRoute);
  void Do(const fanout::Publish& aPublish);
  void Do(const fanout::LeaderAdvertised& aAdvertised);
  void Do(const fanout::InForceKnown& aKnown);
  void Do(const fanout::StatusReady& aReady);
  void Serve();

  ControlMailbox& mMailbox;
  peer::Sender& mSender;
  StatusBoard& mBoard;
  Configure mConfigure;
  /** Whether standby hosts of the log are found through the tree. */
  bool mFindsStandbyHosts{ false };
  runtime::SnapshotCell<fanout::Content> mInForce;
  runtime::ReplyTable<std::vector<fanout::HostReport>> mAnswers;
  runtime::Mailbox<fanout::Content> mContents;
  std::thread mThread;
};

} // namespace balsampoint::daemon
