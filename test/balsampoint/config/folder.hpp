#pragma once

#include <filesystem>
#include <fstream>
#include <string>
#include <string_view>
#include <unistd.h>

namespace balsampoint::config {

/** @brief A folder for one test, removed at its end. */
class TemporaryFolder
{
public:
  TemporaryFolder()
  {
    std::string name =
      (std::filesystem::temp_directory_path() / "balsampoint-XXXXXX").string();
    mPath = ::mkdtemp(name.data());
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  ~TemporaryFolder() { std::filesystem::remove_all(mPath); }

  /** @brief Where it is. */
  [[nodiscard]] const std::filesystem::path& Path() const { return mPath; }

  /**
   * @brief Writes a file.
   * @param aName Its name.
   * @param aText Its content.
   * @return Its path.
   */
  std::filesystem::path Write(std::string_view aName,
                              std::string_view aText) const
  {
    const auto path = mPath / aName;
    std::ofstream{ path } << aText;
    return path;
  }

private:
  std::filesystem::path mPath;
};

} // namespace balsampoint::config
