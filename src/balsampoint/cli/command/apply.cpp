#include "balsampoint/cli/command/apply.hpp"

#include "balsampoint/cli/internal/change.hpp"
#include "balsampoint/cli/internal/printer.hpp"

#include <algorithm>
#include <iostream>

namespace balsampoint::cli {

namespace {

/** Longest wait that a host takes for one call. */
constexpr Duration kMaxWait = std::chrono::seconds{ 60 };

/** Says where a change is in force and whether that is enough. */
ExitCode
JudgeInForce(const Json& aAnswer)
{
  const auto& inForce = aAnswer.at("in_force");
  std::string missing;
  for (const auto& host : inForce.at("missing")) {
    missing += " " + host.get<std::string>();
  }
  if (inForce.value("everywhere", false)) {
    std::cerr << "in force on " << inForce.at("hosts").size() << " host(s)";
    std::cerr << (missing.empty() ? "" : "; out of reach:" + missing) << '\n';
    return ExitCode::Success;
  }
  std::cerr << "accepted, but not known to be in force everywhere; missing:"
            << (missing.empty() ? " unknown" : missing) << '\n';
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
  auto change = MakeChange(aFolder, aOptions.number, aOptions.changeId);
  if (!change) {
    return PrintProblems(change.error());
  }
  if (aOptions.wait) {
    change->wait = std::min(aOptions.timeout, kMaxWait);
  }
  Client client{ aOptions };
  const auto answer = PutChange(client, *change);
  const auto code = PrintResult(answer, aOptions);
  if (code != ExitCode::Success || !aOptions.wait) {
    return code;
  }
  return JudgeInForce(*answer);
}

} // namespace balsampoint::cli
