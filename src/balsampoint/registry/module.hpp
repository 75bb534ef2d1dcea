#pragma once

#include "balsampoint/core/concepts.hpp"
#include "balsampoint/registry/action.hpp"
#include "balsampoint/registry/event.hpp"
#include "balsampoint/registry/state.hpp"

#include <vector>

namespace balsampoint::registry {

/** @brief The registry as the control thread runs it. */
struct Module
{
  using State = registry::State;
  using Event = registry::Event;
  using Action = registry::Action;

  /**
   * @brief Takes in one event.
   * @param aState The registry.
   * @param aEvent The event.
   * @param aNow The time.
   * @param aActions Receives what is to be done.
   */
  static void Handle(State& aState,
                     const Event& aEvent,
                     Instant aNow,
                     std::vector<Action>& aActions);

  /**
   * @brief Does what is due by time.
   * @param aState The registry.
   * @param aNow The time.
   * @param aActions Receives what is to be done.
   */
  static void Tick(State& aState, Instant aNow, std::vector<Action>& aActions);

  /**
   * @brief Tells when the next `Tick` is due.
   * @param aState The registry.
   * @return The time, or `kNever`.
   */
  [[nodiscard]] static Instant NextDeadline(const State& aState);
};

static_assert(ControlModule<Module>);

} // namespace balsampoint::registry
