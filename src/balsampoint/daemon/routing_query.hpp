#pragma once

#include "balsampoint/config/query/key_index.hpp"
#include "balsampoint/edge/operator_port.hpp"
#include "balsampoint/edge/traffic_state.hpp"

namespace balsampoint::daemon {

/**
 * @brief Answers `GET /v1/route-of` of an operator: where a request would be
 * sent now, and why.
 * @param aTraffic State of the traffic thread.
 * @param aKeys Operators' keys.
 * @param aHead The operator's request.
 * @return The explanation as JSON, 401 without an operator's key, 404 for
 * another path, or 400 for parameters that aren't numbers.
 */
[[nodiscard]] edge::OperatorPort::Answer
AnswerRoutingQuery(const edge::TrafficState& aTraffic,
                   const config::KeyIndex& aKeys,
                   const wire::RequestHead& aHead);

} // namespace balsampoint::daemon
