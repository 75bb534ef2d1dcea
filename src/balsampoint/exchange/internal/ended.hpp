#pragma once

#include "balsampoint/exchange/event.hpp"

namespace balsampoint::exchange::internal {

/** @brief The request has ended: late results of its actions change nothing. */
struct EndedPhase
{
  template<typename E>
  void operator()(const E& /*aEvent*/) const
  {
  }
};

} // namespace balsampoint::exchange::internal
