#pragma once

#include "balsampoint/core/concepts.hpp"
#include "balsampoint/member/action.hpp"
#include "balsampoint/member/event.hpp"
#include "balsampoint/member/state.hpp"

#include <vector>

namespace balsampoint::member {

/** @brief Interface of the module to the control thread. */
struct Module
{
  using State = member::State;
  using Event = member::Event;
  using Action = member::Action;

  /**
   * @brief Handles one event.
   * @param aState State of the module.
   * @param aEvent The event.
   * @param aNow Current time.
   * @param aActions Receives the resulting actions.
   */
  static void Handle(State& aState,
                     const Event& aEvent,
                     Instant aNow,
                     std::vector<Action>& aActions);

  /**
   * @brief Runs the timers that have expired; does nothing after `Leave`.
   * @param aState State of the module.
   * @param aNow Current time.
   * @param aActions Receives the resulting actions.
   */
  static void Tick(State& aState, Instant aNow, std::vector<Action>& aActions);

  /**
   * @brief Time of the earliest pending timer.
   * @param aState State of the module.
   * @return When to call `Tick` next; `kNever` after `Leave`.
   */
  [[nodiscard]] static Instant NextDeadline(const State& aState);
};

static_assert(ControlModule<Module>);

} // namespace balsampoint::member
