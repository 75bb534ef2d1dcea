#pragma once

#include "balsampoint/cli/exit_code.hpp"
#include "balsampoint/cli/options.hpp"

#include <string_view>

namespace balsampoint::cli {

/**
 * @brief Prints what a host answers to a query.
 * @param aPath Path of the query on the operators' listener.
 * @param aOptions The flags.
 * @return The exit code.
 */
[[nodiscard]] ExitCode
Show(std::string_view aPath, const Options& aOptions);

} // namespace balsampoint::cli
