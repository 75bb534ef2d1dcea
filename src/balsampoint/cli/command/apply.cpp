#include "balsampoint/cli/command/apply.hpp"

#include "balsampoint/cli/internal/change.hpp"
#include "balsampoint/cli/internal/pause.hpp"
#include "balsampoint/cli/internal/printer.hpp"
#include "balsampoint/runtime/steady_clock.hpp"

#include <iostream>

namespace balsampoint::cli {

namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds{ 200 };

/** @brief What the hosts report of one change. */
struct Progress
{
  std::size_t inForce{};
  /** Live hosts that report an older number. */
  std::string behind;
  /** Hosts out of reach; not waited for. */
  std::string unreachable;
};

Progress
Assess(const Json& aHosts, std::uint64_t aNumber)
{
  Progress progress;
  for (const auto& host : aHosts) {
    const auto name = host.value("host", "") + " ";
    if (host.value("state", "") == "out_of_reach") {
      progress.unreachable += name;
    } else if (host.value("number", std::uint64_t{ 0 }) < aNumber) {
      progress.behind += name;
    } else {
      ++progress.inForce;
    }
  }
  return progress;
}

ExitCode
WaitUntilInForce(Client& aClient, const Options& aOptions)
{
  const Pause pause;
  const auto deadline = runtime::SteadyClock::Now() + aOptions.timeout;
  Progress progress;
  while (runtime::SteadyClock::Now() < deadline) {
    if (const auto hosts = aClient.Get("/v1/status/hosts")) {
      progress = Assess(*hosts, aOptions.number);
      if (progress.behind.empty() && progress.inForce > 0) {
        std::cerr << "in force on " << progress.inForce << " host(s)";
        if (!progress.unreachable.empty()) {
          std::cerr << "; out of reach: " << progress.unreachable;
        }
        std::cerr << '\n';
        return ExitCode::Success;
      }
    }
    if (!pause.For(kPollInterval)) {
      break;
    }
  }
  std::cerr << "accepted, but not in force on: "
            << (progress.behind.empty() ? "unknown" : progress.behind) << '\n';
  return ExitCode::NotInForce;
}

} // namespace

ExitCode
Apply(const std::filesystem::path& aFolder, const Options& aOptions)
{
  if (aOptions.number == 0) {
    std::cerr << "balsampoint: apply needs --number\n";
    return ExitCode::Usage;
  }
  const auto change = MakeChange(aFolder, aOptions.number, aOptions.changeId);
  if (!change) {
    return PrintProblems(change.error());
  }
  Client client{ aOptions };
  const auto code = PrintResult(PutChange(client, *change), aOptions);
  if (code != ExitCode::Success || !aOptions.wait) {
    return code;
  }
  return WaitUntilInForce(client, aOptions);
}

} // namespace balsampoint::cli
