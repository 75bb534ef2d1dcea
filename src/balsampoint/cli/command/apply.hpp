#pragma once

#include "balsampoint/cli/exit_code.hpp"
#include "balsampoint/cli/options.hpp"

#include <filesystem>

namespace balsampoint::cli {

/**
 * @brief Puts a folder's configuration to a host under a change number.
 * @param aFolder The folder.
 * @param aOptions The flags; `number` is needed.
 * @return `Success` once it is accepted or, with `wait`, in force on every
 * live host.
 */
[[nodiscard]] ExitCode
Apply(const std::filesystem::path& aFolder, const Options& aOptions);

} // namespace balsampoint::cli
