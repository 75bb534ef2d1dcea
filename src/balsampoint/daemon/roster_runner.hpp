#pragma once

#include "balsampoint/daemon/control.hpp"
#include "balsampoint/peer/sender.hpp"
#include "balsampoint/runtime/callback_table.hpp"
#include "balsampoint/runtime/snapshot_cell.hpp"

#include <functional>
#include <memory>
#include <tl/expected.hpp>

namespace balsampoint::daemon {

/** @brief Carries out the roster's actions. */
class RosterRunner
{
public:
  /** @brief Takes each new view; called on the control thread. */
  using Publish = std::function<void(std::shared_ptr<const roster::View>)>;

  /**
   * @brief Keeps the ways to and from the control thread; all outlive it.
   * @param aMailbox Queue into the control thread.
   * @param aSender Way to other hosts.
   */
  RosterRunner(ControlMailbox& aMailbox, peer::Sender& aSender)
    : mMailbox{ aMailbox }
    , mSender{ aSender }
  {
  }

  /**
   * @brief Says who takes the views; nobody by default.
   * @param aPublish Takes them.
   */
  void PublishTo(Publish aPublish) { mPublish = std::move(aPublish); }

  /** @brief Takes the answer to a server's call. */
  using Answer = std::function<void(tl::expected<void, Error>)>;

  /**
   * @brief Records a heartbeat; one of a server that leaves is acknowledged
   * once other control hosts have it too.
   * @param aClaim What the server says.
   * @param aAnswered Called once, on any thread.
   */
  void RecordHeartbeat(roster::Claim aClaim, Answer aAnswered);

  /**
   * @brief Records a sign-off, which is acknowledged once other control hosts
   * have it too.
   * @param aSignedOff The sign-off; its ticket is set here.
   * @param aAnswered Called once, on any thread.
   */
  void RecordSignOff(roster::SignedOff aSignedOff, Answer aAnswered);

  /**
   * @brief Carries out one action.
   * @param aAction The action.
   */
  void Run(const roster::Action& aAction);

  /** @brief The view last published; null before the first. */
  [[nodiscard]] std::shared_ptr<const roster::View> Latest() const
  {
    return mLatest.Read();
  }

private:
  void Do(const roster::Publish& aPublish);
  void Do(const roster::SetHostAddress& aSetHostAddress);
  void Do(const roster::Send& aSend);
  void Do(const roster::ConfigurationAdvertised& aAdvertised);
  void Do(const roster::ControlHostsChanged& aChanged);
  void Do(const roster::RoleChanged& aChanged);
  void Do(const roster::DepartureAnswered& aAnswered);
  void Push(Ticket aTicket, roster::Event aEvent);

  ControlMailbox& mMailbox;
  peer::Sender& mSender;
  Publish mPublish;
  runtime::CallbackTable<tl::expected<void, Error>> mAnswers;
  runtime::SnapshotCell<roster::View> mLatest;
};

} // namespace balsampoint::daemon
