#pragma once

#include "balsampoint/daemon/control.hpp"
#include "balsampoint/member/action.hpp"
#include "balsampoint/peer/sender.hpp"

namespace balsampoint::daemon {

/** @brief Carries out the membership's actions. */
class MemberRunner
{
public:
  /**
   * @brief Keeps the ways to the control thread and to other hosts.
   * @param aMailbox Queue into the control thread; outlives the runner.
   * @param aSender Way to other hosts; outlives the runner.
   */
  MemberRunner(ControlMailbox& aMailbox, peer::Sender& aSender);

  /**
   * @brief Carries out one action.
   * @param aAction The action.
   */
  void Run(const member::Action& aAction);

private:
  void Do(const member::Send& aSend);
  void Do(const member::Publish& aPublish);

  ControlMailbox& mMailbox;
  peer::Sender& mSender;
};

} // namespace balsampoint::daemon
