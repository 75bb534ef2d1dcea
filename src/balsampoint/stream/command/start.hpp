#pragma once

#include "balsampoint/stream/internal/advance.hpp"
#include "balsampoint/stream/internal/end.hpp"
#include "balsampoint/stream/internal/recover.hpp"
#include "balsampoint/stream/state.hpp"

#include <vector>

namespace balsampoint::stream {

/**
 * @brief Starts an answer.
 * @tparam T Tokenizer of the pipeline's model.
 * @param aState Replaced by the new answer.
 * @param aRequest The request; if it has no route, the first action requests
 * one.
 * @param aSettings Limits and cost estimates.
 * @param aNow Current time.
 * @param aActions The first actions are appended here.
 */
template<Tokenizer T>
void
Start(BasicState<T>& aState,
      const StreamRequest& aRequest,
      const Settings& aSettings,
      Instant aNow,
      std::vector<Action>& aActions)
{
  aState = BasicState<T>{};
  auto& progress = aState.progress;
  progress.request = aRequest;
  progress.settings = aSettings;
  progress.attempt = AttemptNumber{ 1 };
  aState.tokenizer.Append(progress.request.prompt);
  progress.starts.push_back(aState.tokenizer.Start());
  if (progress.request.maxTokens == 0) {
    internal::Complete(progress, FinishReason::Length, aNow, aActions);
    return;
  }
  const LayerRange layers{ .begin = 0,
                           .end = progress.request.pipeline.layers };
  if (progress.request.route.empty()) {
    internal::RequestRoute(progress, { .layers = layers }, aNow, aActions);
    return;
  }
  progress.pendingChoice = PendingChoice{ .layers = layers };
  const RouteChosen chosen{ .layers = layers, .route = progress.request.route };
  if (internal::InstallRoute(progress, chosen, aNow, aActions)) {
    internal::Advance(progress, aNow, aActions);
  }
}

} // namespace balsampoint::stream
