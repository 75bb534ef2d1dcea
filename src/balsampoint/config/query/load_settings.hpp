#pragma once

#include "balsampoint/config/problem.hpp"
#include "balsampoint/config/settings.hpp"

#include <filesystem>
#include <tl/expected.hpp>

namespace balsampoint::config {

/**
 * @brief Reads and checks the settings file of a host.
 * @param aFile The file; relative paths in it start at its folder.
 * @return The settings, or all problems.
 */
[[nodiscard]] tl::expected<Settings, Problems>
LoadSettings(const std::filesystem::path& aFile);

} // namespace balsampoint::config
