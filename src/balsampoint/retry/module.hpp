#pragma once

#include "balsampoint/core/concepts.hpp"
#include "balsampoint/retry/state.hpp"

namespace balsampoint::retry {

/** @brief Interface of the module to the control thread. */
struct Module
{
  using State = retry::State;
  using Event = retry::Event;
  using Action = retry::Action;

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
   * @brief Grants the retries whose backoff has ended.
   * @param aState State to change.
   * @param aNow Current time.
   * @param aActions Actions are appended here.
   */
  static void Tick(State& aState, Instant aNow, std::vector<Action>& aActions);

  /**
   * @brief Time at which `Tick` must be called next.
   * @param aState State to read.
   * @return The time; `kNever` if no retry is in backoff.
   */
  [[nodiscard]] static Instant NextDeadline(const State& aState);
};

static_assert(ControlModule<Module>);

} // namespace balsampoint::retry
