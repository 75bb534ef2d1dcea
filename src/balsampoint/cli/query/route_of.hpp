#pragma once

#include "balsampoint/cli/exit_code.hpp"
#include "balsampoint/cli/options.hpp"

#include <string>

namespace balsampoint::cli {

/**
 * @brief Prints where an entry host would send a request now, and why.
 * @param aPath Path of the request.
 * @param aOptions The flags; `query` holds what else is known of the request.
 * @return The exit code.
 */
[[nodiscard]] ExitCode
RouteOf(const std::string& aPath, const Options& aOptions);

} // namespace balsampoint::cli
