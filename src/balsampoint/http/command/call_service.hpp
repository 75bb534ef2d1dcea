#pragma once

#include "balsampoint/http/command/run_completion.hpp"

namespace balsampoint::http {

/** @brief Path below which plain services are served. */
inline constexpr std::string_view kServicesPath = "/services/";

/**
 * @brief Passes a call on to a plain service and its answer back.
 *
 * Refusals and failures are thrown as `Failure`.
 * @param aServices What to work with.
 * @param aCaller Who asks.
 * @param aRequest The call, below `kServicesPath`.
 * @param aResponse The answer.
 */
void
CallService(const CallerServices& aServices,
            const CallerRequest& aCaller,
            ServerRequest& aRequest,
            ServerResponse& aResponse);

} // namespace balsampoint::http
