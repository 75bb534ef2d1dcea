#pragma once

#include "balsampoint/cli/exit_code.hpp"
#include "balsampoint/cli/options.hpp"

#include <filesystem>

namespace balsampoint::cli {

/**
 * @brief Applies a folder whenever its files have changed and come to rest.
 *
 * Each change takes the number after the one in force at the start or after
 * the last one applied, so that another operator's change is never
 * overwritten unseen.
 * @param aFolder The folder.
 * @param aOptions The flags.
 * @return `Success` when the user ends it, `Conflict` when another change
 * took the number.
 */
[[nodiscard]] ExitCode
Watch(const std::filesystem::path& aFolder, const Options& aOptions);

} // namespace balsampoint::cli
