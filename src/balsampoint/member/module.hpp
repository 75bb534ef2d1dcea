#pragma once

#include "balsampoint/core/concepts.hpp"
#include "balsampoint/member/action.hpp"
#include "balsampoint/member/event.hpp"
#include "balsampoint/member/state.hpp"

#include <vector>

namespace balsampoint::member {

/** @brief The member as the control thread runs it. */
struct Module
{
  using State = member::State;
  using Event = member::Event;
  using Action = member::Action;

  /**
   * @brief Takes in one event.
   * @param aState The membership.
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
   * @param aState The membership.
   * @param aNow The time.
   * @param aActions Receives what is to be done.
   */
  static void Tick(State& aState, Instant aNow, std::vector<Action>& aActions);

  /**
   * @brief Tells when the next `Tick` is due.
   * @param aState The membership.
   * @return The time, or `kNever`.
   */
  [[nodiscard]] static Instant NextDeadline(const State& aState);
};

static_assert(ControlModule<Module>);

} // namespace balsampoint::member
