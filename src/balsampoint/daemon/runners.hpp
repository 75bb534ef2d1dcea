#pragma once

#include "balsampoint/daemon/registry_runner.hpp"

namespace balsampoint::daemon {

/** @brief Carries out the actions of all modules, each by its runner. */
class Runners
{
public:
  /**
   * @brief Makes the runners; the arguments outlive them.
   * @param aMailbox Queue into the control thread.
   * @param aWorld What traffic threads read.
   * @param aSender Way to other hosts.
   */
  Runners(ControlMailbox& aMailbox,
          traffic::World& aWorld,
          peer::Sender& aSender)
    : mRegistry{ aMailbox, aWorld, aSender }
  {
  }

  /** @brief The registry's runner. */
  [[nodiscard]] RegistryRunner& Registry() { return mRegistry; }

  /**
   * @brief Carries out an action of the registry.
   * @param aAction The action.
   */
  void Run(const registry::Action& aAction) { mRegistry.Run(aAction); }

private:
  RegistryRunner mRegistry;
};

} // namespace balsampoint::daemon
