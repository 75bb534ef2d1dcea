#pragma once

#include "balsampoint/core/concepts.hpp"
#include "balsampoint/limit/state.hpp"

namespace balsampoint::limit {

/** @brief Interface of the module to the control thread. */
struct Module
{
  using State = limit::State;
  using Event = limit::Event;
  using Action = limit::Action;

  /**
   * @brief Handles an event.
   * @param aState State to change.
   * @param aEvent The event.
   * @param aNow Current time.
   * @param aActions Actions are appended here.
   */
  static void Handle(State& aState,
                     const Event& aEvent,
                     Instant aNow,
                     std::vector<Action>& aActions);

  /**
   * @brief Refuses waiting requests that can no longer meet their deadlines.
   * @param aState State to change.
   * @param aNow Current time.
   * @param aActions Actions are appended here.
   */
  static void Tick(State& aState, Instant aNow, std::vector<Action>& aActions);

  /**
   * @brief Time at which `Tick` must be called next.
   * @param aState State to read.
   * @return The time; `kNever` if no request waits for a deadline.
   */
  [[nodiscard]] static Instant NextDeadline(const State& aState);
};

static_assert(ControlModule<Module>);

} // namespace balsampoint::limit
