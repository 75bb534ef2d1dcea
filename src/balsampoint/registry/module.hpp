#pragma once

#include "balsampoint/core/concepts.hpp"
#include "balsampoint/registry/action.hpp"
#include "balsampoint/registry/event.hpp"
#include "balsampoint/registry/state.hpp"

#include <vector>

namespace balsampoint::registry {

/** @brief Control module of the registry. */
struct Module
{
  using State = registry::State;
  using Event = registry::Event;
  using Action = registry::Action;

  /**
   * @brief Applies one event to the state.
   * @param aState State of the registry.
   * @param aEvent Event to apply.
   * @param aNow Current time.
   * @param aActions Actions to carry out are appended to it.
   */
  static void Handle(State& aState,
                     const Event& aEvent,
                     Instant aNow,
                     std::vector<Action>& aActions);

  /**
   * @brief Runs timers that have expired.
   * @param aState State of the registry.
   * @param aNow Current time.
   * @param aActions Actions to carry out are appended to it.
   */
  static void Tick(State& aState, Instant aNow, std::vector<Action>& aActions);

  /**
   * @brief Returns when `Tick` must run next.
   * @param aState State of the registry.
   * @return Time of the next call, or `kNever` if none is scheduled.
   */
  [[nodiscard]] static Instant NextDeadline(const State& aState);
};

static_assert(ControlModule<Module>);

} // namespace balsampoint::registry
