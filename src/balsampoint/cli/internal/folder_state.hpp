#pragma once

#include <compare>
#include <cstdint>
#include <filesystem>
#include <map>

namespace balsampoint::cli {

/** @brief Size and time of change of one file. */
struct FileState
{
  std::uintmax_t size{};
  std::filesystem::file_time_type changed;

  bool operator==(const FileState&) const = default;
};

/** @brief The states of the configuration files of a folder, by path. */
using FolderState = std::map<std::filesystem::path, FileState>;

/**
 * @brief Looks at the configuration files of a folder without reading them.
 * @param aFolder The folder.
 * @return Their states; a file that vanishes meanwhile is left out.
 */
[[nodiscard]] FolderState
ReadFolderState(const std::filesystem::path& aFolder);

} // namespace balsampoint::cli
