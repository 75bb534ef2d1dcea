#pragma once

#include "balsampoint/core/concepts.hpp"
#include "balsampoint/retry/state.hpp"

namespace balsampoint::retry {

/** @brief The module as the control thread runs it. */
struct Module
{
  using State = retry::State;
  using Event = retry::Event;
  using Action = retry::Action;

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
   * @brief Grants the retries whose pause is over.
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

} // namespace balsampoint::retry
