#pragma once

#include "balsampoint/cli/exit_code.hpp"
#include "balsampoint/cli/options.hpp"

#include <filesystem>

namespace balsampoint::cli {

/**
 * @brief Checks a configuration's folder, or a host's settings file.
 * @param aPath The folder or file.
 * @param aOptions The flags.
 * @return `Success`, or `Invalid` after printing every problem.
 */
[[nodiscard]] ExitCode
Validate(const std::filesystem::path& aPath, const Options& aOptions);

} // namespace balsampoint::cli
