#pragma once

#include "balsampoint/http/listener.hpp"
#include "balsampoint/trace/hop.hpp"
#include "balsampoint/traffic/world.hpp"

namespace balsampoint::http {

/**
 * @brief Answers `/metrics`.
 * @param aWorld What the host knows.
 * @param aTelemetry The host's figures.
 * @param aRequest The request.
 * @param aResponse The answer.
 * @return Whether the request was this one.
 */
[[nodiscard]] bool
AnswerMetrics(const traffic::World& aWorld,
              trace::Telemetry& aTelemetry,
              const ServerRequest& aRequest,
              ServerResponse& aResponse);

} // namespace balsampoint::http
