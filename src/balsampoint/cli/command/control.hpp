#pragma once

#include "balsampoint/cli/exit_code.hpp"
#include "balsampoint/cli/options.hpp"

#include <span>
#include <string>

namespace balsampoint::cli {

/**
 * @brief Tells the host that is called to stop taking new work.
 * @param aOptions The flags.
 * @return The exit code.
 */
[[nodiscard]] ExitCode
Drain(const Options& aOptions);

/**
 * @brief Changes the members of the control group.
 * @param aArguments `add HOST`, `remove HOST`, or `replace OLD NEW`.
 * @param aOptions The flags.
 * @return The exit code.
 */
[[nodiscard]] ExitCode
ChangeControl(std::span<const std::string> aArguments, const Options& aOptions);

} // namespace balsampoint::cli
