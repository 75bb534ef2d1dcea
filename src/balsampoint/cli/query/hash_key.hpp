#pragma once

#include "balsampoint/cli/exit_code.hpp"
#include "balsampoint/cli/options.hpp"

#include <string_view>

namespace balsampoint::cli {

/**
 * @brief Makes a new random key and prints it with its hash.
 * @param aId Public part of the key.
 * @param aOptions The flags.
 * @return `Success`, or `Usage` when the id is not a name without dots.
 */
[[nodiscard]] ExitCode
PrintNewKey(std::string_view aId, const Options& aOptions);

} // namespace balsampoint::cli
