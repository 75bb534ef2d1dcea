#pragma once

#include "balsampoint/peer/sender.hpp"
#include "balsampoint/peer/usage_codec.hpp"
#include "balsampoint/usage/module.hpp"

#include <functional>
#include <memory>
#include <utility>

namespace balsampoint::daemon {

/** @brief Carries out the actions of the exchange of work in progress. */
class UsageRunner
{
public:
  /** @brief Takes what others have; called on the control thread. */
  using Tell = std::function<void(std::shared_ptr<const usage::RemoteUsage>)>;

  /**
   * @brief Keeps the way to other hosts, which outlives the runner.
   * @param aSender The way.
   */
  explicit UsageRunner(peer::Sender& aSender)
    : mSender{ aSender }
  {
  }

  /**
   * @brief Says who is told what others have; nobody by default.
   * @param aTell Told of it.
   */
  void TellTo(Tell aTell) { mTell = std::move(aTell); }

  /**
   * @brief Carries out one action.
   * @param aAction The action.
   */
  void Run(const usage::Action& aAction)
  {
    if (const auto* send = std::get_if<usage::Send>(&aAction)) {
      mSender.Send(
        send->to, peer::ModuleTag::Usage, peer::Encode(send->message));
    } else if (mTell) {
      mTell(std::get<usage::PublishRemote>(aAction).others);
    }
  }

private:
  peer::Sender& mSender;
  Tell mTell;
};

} // namespace balsampoint::daemon
