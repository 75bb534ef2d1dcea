#pragma once

#include "balsampoint/core/concepts.hpp"
#include "balsampoint/limit/state.hpp"

namespace balsampoint::limit {

/** @brief The module as the control thread runs it. */
struct Module
{
  using State = limit::State;
  using Event = limit::Event;
  using Action = limit::Action;

  /**
   * @brief Reacts to an event.
   * @param aState State to change.
   * @param aEvent What happened.
   * @param aNow The time.
   * @param aActions Actions are appended here.
   */
  static void Handle(State& aState,
                     const Event& aEvent,
                     Instant aNow,
                     std::vector<Action>& aActions);

  /**
   * @brief Refuses what can no longer be served in time.
   * @param aState State to change.
   * @param aNow The time.
   * @param aActions Actions are appended here.
   */
  static void Tick(State& aState, Instant aNow, std::vector<Action>& aActions);

  /**
   * @brief When the next `Tick` is wanted.
   * @param aState State to read.
   * @return The time, or `kNever`.
   */
  [[nodiscard]] static Instant NextDeadline(const State& aState);
};

static_assert(ControlModule<Module>);

} // namespace balsampoint::limit
