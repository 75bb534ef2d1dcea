#pragma once

#include <filesystem>
#include <fstream>
#include <string_view>

namespace balsampoint::trace {

/** @brief Appends lines to a file; opens it again after a failure. */
class FileSink
{
public:
  /**
   * @brief Names the file; it is opened by the first write.
   * @param aFile The file; empty drops every line.
   */
  explicit FileSink(std::filesystem::path aFile);

  /**
   * @brief Appends a line and hands it to the system.
   * @param aLine The line with its end.
   * @return Whether it was taken.
   */
  bool Write(std::string_view aLine);

private:
  std::filesystem::path mFile;
  std::ofstream mStream;
};

} // namespace balsampoint::trace
