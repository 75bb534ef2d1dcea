#include "balsampoint/cli/query/validate.hpp"

#include "balsampoint/cli/internal/change.hpp"
#include "balsampoint/cli/internal/printer.hpp"
#include "balsampoint/config/query/load_folder.hpp"
#include "balsampoint/config/query/load_settings.hpp"

#include <iostream>

namespace balsampoint::cli {

ExitCode
Validate(const std::filesystem::path& aPath, const Options& aOptions)
{
  if (std::filesystem::is_regular_file(aPath)) {
    const auto settings = config::LoadSettings(aPath);
    if (!settings) {
      return PrintProblems(settings.error());
    }
    Print(std::cout,
          { { "verdict", "valid" }, { "host", settings->host.String() } },
          aOptions.output);
    return ExitCode::Success;
  }
  const auto document = config::LoadFolder(aPath);
  if (!document) {
    return PrintProblems(document.error());
  }
  Print(std::cout,
        { { "verdict", "valid" },
          { "zones", document->zones.size() },
          { "pipelines", document->pipelines.size() },
          { "services", document->services.size() },
          { "workspaces", document->workspaces.size() },
          { "operators", document->operators.size() } },
        aOptions.output);
  return ExitCode::Success;
}

} // namespace balsampoint::cli
