#pragma once

#include "balsampoint/daemon/control.hpp"
#include "balsampoint/peer/sender.hpp"
#include "balsampoint/registry/action.hpp"
#include "balsampoint/runtime/reply_table.hpp"
#include "balsampoint/traffic/world.hpp"

namespace balsampoint::daemon {

/** @brief Carries out the registry's actions and takes announcements in. */
class RegistryRunner
{
public:
  /**
   * @brief Keeps the ways to and from the control thread; both outlive it.
   * @param aMailbox Queue into the control thread.
   * @param aWorld Where views are published.
   * @param aSender Way to other hosts.
   */
  RegistryRunner(ControlMailbox& aMailbox,
                 traffic::World& aWorld,
                 peer::Sender& aSender);

  /**
   * @brief Announces a server and waits for the answer.
   * @param aAnnouncement The announcement.
   * @return Time within which the server renews, or the refusal.
   */
  [[nodiscard]] tl::expected<Duration, Error> Announce(
    registry::Announcement aAnnouncement);

  /**
   * @brief Carries out one action.
   * @param aAction The action.
   */
  void Run(const registry::Action& aAction);

private:
  void Do(const registry::Answered& aAnswer);
  void Do(const registry::Publish& aPublish);
  void Do(const registry::Send& aSend);

  ControlMailbox& mMailbox;
  traffic::World& mWorld;
  peer::Sender& mSender;
  runtime::ReplyTable<tl::expected<Duration, Error>> mAnswers;
};

} // namespace balsampoint::daemon
