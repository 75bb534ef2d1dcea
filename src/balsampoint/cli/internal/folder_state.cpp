#include "balsampoint/cli/internal/folder_state.hpp"

#include "balsampoint/config/query/load_folder.hpp"

#include <system_error>

namespace balsampoint::cli {

FolderState
ReadFolderState(const std::filesystem::path& aFolder)
{
  FolderState state;
  for (const auto& file : config::ConfigurationFiles(aFolder)) {
    std::error_code error;
    const auto size = std::filesystem::file_size(file, error);
    const auto changed = std::filesystem::last_write_time(file, error);
    if (!error) {
      state[file] = { size, changed };
    }
  }
  return state;
}

} // namespace balsampoint::cli
