#pragma once

#include "balsampoint/core/concepts.hpp"
#include "balsampoint/orders/action.hpp"
#include "balsampoint/orders/event.hpp"
#include "balsampoint/orders/state.hpp"

#include <vector>

namespace balsampoint::orders {

/** @brief The module that the control thread runs. */
struct Module
{
  using State = orders::State;
  using Event = orders::Event;
  using Action = orders::Action;

  /**
   * @brief Handles one event.
   * @param aState State to change.
   * @param aEvent The event.
   * @param aNow The current time.
   * @param aActions Actions are appended here.
   */
  static void Handle(State& aState,
                     const Event& aEvent,
                     Instant aNow,
                     std::vector<Action>& aActions);

  /**
   * @brief Updates the lease, sends queued orders and ends overdue ones.
   * @param aState State to change.
   * @param aNow The current time.
   * @param aActions Actions are appended here.
   */
  static void Tick(State& aState, Instant aNow, std::vector<Action>& aActions);

  /**
   * @brief Returns when `Tick` must be called next.
   * @param aState State to read.
   * @return The time, or `kNever` if nothing is scheduled.
   */
  [[nodiscard]] static Instant NextDeadline(const State& aState);
};

static_assert(ControlModule<Module>);

} // namespace balsampoint::orders
