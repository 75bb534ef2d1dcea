#pragma once

#include "balsampoint/stream/internal/advance.hpp"
#include "balsampoint/stream/internal/end.hpp"
#include "balsampoint/stream/internal/fail.hpp"
#include "balsampoint/stream/internal/recover.hpp"
#include "balsampoint/stream/state.hpp"

#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace balsampoint::stream {

namespace internal {

/**
 * @brief Handles an event that needs no tokenizer.
 * @param aProgress The answer; an ended one only counts dropped replies.
 * @param aEvent Any event but a step's reply.
 * @param aNow Current time.
 * @param aActions Actions are appended here.
 */
void
HandleCommon(Progress& aProgress,
             const Event& aEvent,
             Instant aNow,
             std::vector<Action>& aActions);

/**
 * @brief Checks a step's reply and applies its output.
 * @param aProgress The answer.
 * @param aReply The reply.
 * @param aNow Current time.
 * @param aActions Actions are appended here unless a token is complete.
 * @return The output of the last layer when a token is complete.
 */
[[nodiscard]] std::optional<std::uint64_t>
HandleStep(Progress& aProgress,
           const StepReply& aReply,
           Instant aNow,
           std::vector<Action>& aActions);

} // namespace internal

/**
 * @brief Handles one event of an answer.
 *
 * A reply is accepted only for the pending call, and only once. Any other reply
 * increments a counter and changes nothing else.
 * @tparam T Tokenizer of the pipeline's model.
 * @param aState The answer.
 * @param aEvent What happened.
 * @param aNow Current time.
 * @param aActions Actions are appended here, in the order to run them.
 */
template<Tokenizer T>
void
Handle(BasicState<T>& aState,
       const Event& aEvent,
       Instant aNow,
       std::vector<Action>& aActions)
{
  auto& progress = aState.progress;
  const auto* replied = std::get_if<StepReplied>(&aEvent);
  if (replied == nullptr) {
    internal::HandleCommon(progress, aEvent, aNow, aActions);
    return;
  }
  const auto output =
    internal::HandleStep(progress, replied->reply, aNow, aActions);
  if (!output) {
    return;
  }
  auto text = T::Text(*output);
  aState.tokenizer.Append(text);
  aActions.emplace_back(
    Emit{ .step = StepNumber{ progress.step - 1 }, .text = std::move(text) });
  if (progress.step == progress.request.maxTokens) {
    internal::Complete(progress, FinishReason::Length, aNow, aActions);
    return;
  }
  internal::BeginPosition(progress, aState.tokenizer.Start());
  internal::Advance(progress, aNow, aActions);
}

} // namespace balsampoint::stream
