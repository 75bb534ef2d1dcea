#pragma once

#include "balsampoint/routing/document.hpp"

namespace balsampoint::routing {

/**
 * @brief Whether the requests for a service with engines compete for its KV by
 * the configuration: routes of different priority lead to it.
 *
 * Priorities of workspaces alone don't count: they order requests within a
 * workspace's share, and say nothing of a shortage.
 * @param aDocument The configuration.
 * @param aService The service.
 */
[[nodiscard]] bool
RequestsCompete(const Document& aDocument, const ServiceId& aService);

} // namespace balsampoint::routing
