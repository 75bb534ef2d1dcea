#pragma once

#include "balsampoint/config/document.hpp"
#include "balsampoint/config/problem.hpp"

#include <filesystem>
#include <tl/expected.hpp>

namespace balsampoint::config {

/**
 * @brief Names the files of a configuration folder in the order of merging.
 * @param aFolder The folder.
 * @return Regular files ending in `.yaml` whose name doesn't start with a
 * dot, in the order of their names; nothing when it can't be read.
 */
[[nodiscard]] std::vector<std::filesystem::path>
ConfigurationFiles(const std::filesystem::path& aFolder);

/**
 * @brief Merges the files of a folder into one configuration and checks it.
 *
 * Files are taken in the order of their names: maps merge deeply, a later
 * scalar or list replaces, null removes.
 * @param aFolder The folder.
 * @return The configuration without a number, or all problems.
 */
[[nodiscard]] tl::expected<Document, Problems>
LoadFolder(const std::filesystem::path& aFolder);

} // namespace balsampoint::config
