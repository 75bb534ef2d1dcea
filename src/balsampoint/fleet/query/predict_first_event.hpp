#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/fleet/state.hpp"

namespace balsampoint::fleet {

/**
 * @brief Predicts the time to the first event of a request that starts now, on
 * servers of mean speed and load.
 * @param aState State to read.
 * @param aService Service of the request.
 * @param aPromptTokens Tokens of its prompt.
 * @return Zero for a service without ready engines.
 */
[[nodiscard]] Duration
PredictFirstEvent(const State& aState,
                  const ServiceId& aService,
                  double aPromptTokens);

} // namespace balsampoint::fleet
