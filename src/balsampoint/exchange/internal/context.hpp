#pragma once

#include "balsampoint/exchange/action.hpp"
#include "balsampoint/exchange/event.hpp"
#include "balsampoint/exchange/state.hpp"
#include "balsampoint/exchange/surroundings.hpp"

#include <utility>
#include <vector>

namespace balsampoint::exchange::internal {

/** @brief What the handling of one event works on. */
template<Surroundings S>
struct Context
{
  State& state;
  Instant now;
  S& surroundings;
  std::vector<Action>& actions;

  /** @brief Appends an action. */
  template<typename A>
  void Act(A aAction)
  {
    actions.emplace_back(std::move(aAction));
  }
};

/** @brief Names the events that a phase doesn't expect. */
template<typename... Events>
struct Ignores;

template<typename E>
struct IgnoresOne
{
  void operator()(const E& /*aEvent*/) const {}
};

template<typename... Events>
struct Ignores : IgnoresOne<Events>...
{
  using IgnoresOne<Events>::operator()...;
};

} // namespace balsampoint::exchange::internal
