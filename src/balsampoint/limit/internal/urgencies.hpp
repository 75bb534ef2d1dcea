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

} // namespace balsampoint::limit::internal
