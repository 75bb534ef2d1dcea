#pragma once

#include "balsampoint/daemon/control.hpp"
#include "balsampoint/peer/sender.hpp"
#include "balsampoint/runtime/snapshot_cell.hpp"

#include <functional>
#include <memory>

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

  ControlMailbox& mMailbox;
  peer::Sender& mSender;
  Publish mPublish;
  runtime::SnapshotCell<roster::View> mLatest;
};

} // namespace balsampoint::daemon
