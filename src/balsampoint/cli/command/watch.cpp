#include "balsampoint/cli/command/watch.hpp"

#include "balsampoint/cli/internal/change.hpp"
#include "balsampoint/cli/internal/folder_state.hpp"
#include "balsampoint/cli/internal/pause.hpp"
#include "balsampoint/cli/internal/printer.hpp"

#include <iostream>

namespace balsampoint::cli {

namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds{ 500 };

/** @brief Applies one state of the folder after another. */
class Watcher
{
public:
  Watcher(const std::filesystem::path& aFolder, const Options& aOptions)
    : mFolder{ aFolder }
    , mOptions{ aOptions }
    , mClient{ aOptions }
  {
  }

  ExitCode Run()
  {
    const auto current = mClient.Get("/v1/configuration");
    if (!current) {
      return PrintResult(current, mOptions);
    }
    mNumber = current->value("number", std::uint64_t{ 0 });
    mApplied = current->value("document", Json::object()).dump();
    const Pause pause;
    FolderState last;
    while (pause.For(kPollInterval)) {
      const auto now = ReadFolderState(mFolder);
      const bool atRest = now == last;
      last = now;
      if (!atRest || now == mSeen) {
        continue;
      }
      const auto code = ApplyNow();
      if (code == ExitCode::Conflict || code == ExitCode::Usage) {
        return code;
      }
      if (code == ExitCode::Success || code == ExitCode::Invalid) {
        mSeen = now;
      }
    }
    return ExitCode::Success;
  }

private:
  ExitCode ApplyNow()
  {
    const auto change = MakeChange(mFolder, mNumber + 1, "");
    if (!change) {
      return PrintProblems(change.error());
    }
    if (change->document == mApplied) {
      return ExitCode::Success;
    }
    const auto code = PrintResult(PutChange(mClient, *change), mOptions);
    if (code == ExitCode::Success) {
      mNumber = change->number;
      mApplied = change->document;
    }
    return code;
  }

  const std::filesystem::path& mFolder;
  const Options& mOptions;
  Client mClient;
  std::uint64_t mNumber{};
  std::string mApplied;
  FolderState mSeen;
};

} // namespace

ExitCode
Watch(const std::filesystem::path& aFolder, const Options& aOptions)
{
  return Watcher{ aFolder, aOptions }.Run();
}

} // namespace balsampoint::cli
