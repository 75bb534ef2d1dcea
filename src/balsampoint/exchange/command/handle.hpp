#pragma once

#include "balsampoint/exchange/internal/admitted.hpp"
#include "balsampoint/exchange/internal/answering.hpp"
#include "balsampoint/exchange/internal/attempt.hpp"
#include "balsampoint/exchange/internal/ended.hpp"
#include "balsampoint/exchange/internal/resuming.hpp"
#include "balsampoint/exchange/internal/waiting.hpp"

#include <variant>
#include <vector>

namespace balsampoint::exchange {

/**
 * @brief Handles one event of a request. An event that its phase doesn't expect
 * changes nothing.
 * @tparam S Type of the surroundings.
 * @param aState The request.
 * @param aEvent What happened.
 * @param aNow Current time.
 * @param aSurroundings What other modules know.
 * @param aActions Actions are appended here, in the order to run them.
 */
template<Surroundings S>
void
Handle(State& aState,
       const Event& aEvent,
       Instant aNow,
       S& aSurroundings,
       std::vector<Action>& aActions)
{
  internal::Context<S> context{ aState, aNow, aSurroundings, aActions };
  switch (aState.phase) {
    case Phase::Admitted:
      std::visit(internal::AdmittedPhase<S>{ context }, aEvent);
      return;
    case Phase::Waiting:
      std::visit(internal::WaitingPhase<S>{ context }, aEvent);
      return;
    case Phase::Attempt:
      std::visit(internal::AttemptPhase<S>{ context }, aEvent);
      return;
    case Phase::Answering:
      std::visit(internal::AnsweringPhase<S>{ context }, aEvent);
      return;
    case Phase::Resuming:
      std::visit(internal::ResumingPhase<S>{ context }, aEvent);
      return;
    case Phase::Ended:
      std::visit(internal::EndedPhase{}, aEvent);
      return;
  }
}

} // namespace balsampoint::exchange
