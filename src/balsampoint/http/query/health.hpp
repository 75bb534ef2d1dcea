#pragma once

#include "balsampoint/http/listener.hpp"
#include "balsampoint/traffic/world.hpp"

namespace balsampoint::http {

/**
 * @brief Answers `/healthz` and `/readyz`.
 * @param aWorld What the host knows.
 * @param aRequest The request.
 * @param aResponse The answer.
 * @return Whether the request was one of these.
 */
[[nodiscard]] bool
AnswerHealth(const traffic::World& aWorld,
             const ServerRequest& aRequest,
             ServerResponse& aResponse);

} // namespace balsampoint::http
