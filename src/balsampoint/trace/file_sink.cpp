#include "balsampoint/trace/file_sink.hpp"

#include <utility>

namespace balsampoint::trace {

FileSink::FileSink(std::filesystem::path aFile)
  : mFile{ std::move(aFile) }
{
}

bool
FileSink::Write(std::string_view aLine)
{
  if (mFile.empty()) {
    return false;
  }
  if (!mStream.is_open()) {
    mStream.open(mFile, std::ios::app | std::ios::binary);
  }
  mStream << aLine << std::flush;
  if (mStream.good()) {
    return true;
  }
  mStream.close();
  mStream.clear();
  return false;
}

} // namespace balsampoint::trace
