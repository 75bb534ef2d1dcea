#pragma once

#include "balsampoint/limit/shortage.hpp"
#include "balsampoint/routing/document.hpp"

namespace balsampoint::limit::internal {

/**
 * @brief Urgencies that the requests of a service have.
 * @param aDocument Configuration with its routes and workspaces.
 * @param aService The service.
 */
[[nodiscard]] std::set<Urgency>
UrgenciesOf(const routing::Document& aDocument, const ServiceId& aService);

/**
 * @brief Whether reservation, waiting and jitter apply to a service: it has
 * engines, and requests of several urgencies.
 *
 * This is the only condition, so that all other services are served as if this
 * part did not exist.
 * @param aService The service.
 * @param aUrgencies Urgencies that its requests have.
 */
[[nodiscard]] bool
SharesByUrgency(const routing::Service& aService,
                const std::set<Urgency>& aUrgencies);

} // namespace balsampoint::limit::internal
