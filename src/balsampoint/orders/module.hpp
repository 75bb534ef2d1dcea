#pragma once

#include "balsampoint/core/concepts.hpp"
#include "balsampoint/orders/action.hpp"
#include "balsampoint/orders/event.hpp"
#include "balsampoint/orders/state.hpp"

#include <vector>

namespace balsampoint::orders {

/** @brief The orders as the control thread runs it. */
struct Module
{
  using State = orders::State;
  using Event = orders::Event;
  using Action = orders::Action;

  /**
   * @brief Takes in one event.
   * @param aState The orders.
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
   * @param aState The orders.
   * @param aNow The time.
   * @param aActions Receives what is to be done.
   */
  static void Tick(State& aState, Instant aNow, std::vector<Action>& aActions);

  /**
   * @brief Tells when the next `Tick` is due.
   * @param aState The orders.
   * @return The time, or `kNever`.
   */
  [[nodiscard]] static Instant NextDeadline(const State& aState);
};

static_assert(ControlModule<Module>);

} // namespace balsampoint::orders
