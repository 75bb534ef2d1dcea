#pragma once

#include "balsampoint/placement/module.hpp"

#include <functional>

namespace balsampoint::daemon {

/** @brief Hands placement's actions to whoever talks to engines. */
class PlacementRunner
{
public:
  /** @brief Carries an action out; called on the control thread. */
  using Carrier = std::function<void(const placement::Action&)>;

  /**
   * @brief Says who carries the actions out; nobody by default.
   * @param aCarrier Carries them out.
   */
  void CarryBy(Carrier aCarrier) { mCarrier = std::move(aCarrier); }

  /**
   * @brief Carries out one action.
   * @param aAction The action.
   */
  void Run(const placement::Action& aAction)
  {
    if (mCarrier) {
      mCarrier(aAction);
    }
  }

private:
  Carrier mCarrier;
};

} // namespace balsampoint::daemon
