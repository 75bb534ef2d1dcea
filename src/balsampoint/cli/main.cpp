#include "balsampoint/cli/command/apply.hpp"
#include "balsampoint/cli/command/control.hpp"
#include "balsampoint/cli/command/watch.hpp"
#include "balsampoint/cli/query/explain.hpp"
#include "balsampoint/cli/query/hash_key.hpp"
#include "balsampoint/cli/query/route_of.hpp"
#include "balsampoint/cli/query/show.hpp"
#include "balsampoint/cli/query/validate.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_split.h>
#include <absl/time/time.h>
#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

ABSL_FLAG(std::string,
          hosts,
          "",
          "Operators' addresses of hosts, IP:PORT, tried in order; the "
          "variable BALSAMPOINT_HOSTS is the default.");
ABSL_FLAG(std::string,
          key_file,
          "",
          "File with the operator's key; the variable BALSAMPOINT_KEY is the "
          "default.");
ABSL_FLAG(std::string, output, "table", "Form of results: table or json.");
ABSL_FLAG(std::uint64_t, number, 0, "Number of the change (apply).");
ABSL_FLAG(
  std::string,
  change_id,
  "",
  "Id of the change (apply); made from number and content if left out.");
ABSL_FLAG(bool,
          wait,
          false,
          "Wait until the change is in force on every live host (apply).");
ABSL_FLAG(std::string,
          host_name,
          "",
          "Host that the request names (route-of).");
ABSL_FLAG(std::string, workspace, "", "Workspace of the caller (route-of).");
ABSL_FLAG(std::string, prompt_tokens, "", "Tokens of the prompt (route-of).");
ABSL_FLAG(std::string,
          answer_tokens,
          "",
          "Expected tokens of the answer (route-of).");
ABSL_FLAG(std::string,
          fingerprint,
          "",
          "Hash of the request as logs name it (route-of).");
ABSL_FLAG(std::string,
          request_id,
          "",
          "Id of the request, which draws its fill level (route-of).");
ABSL_FLAG(absl::Duration, timeout, absl::Seconds(30), "Limit on waiting.");

namespace {

using namespace balsampoint;
using namespace balsampoint::cli;

using Arguments = std::span<const std::string>;

struct Command
{
  std::string_view name;
  std::string_view usage;
  std::string_view help;
  std::size_t minArguments{};
  std::size_t maxArguments{};
  ExitCode (*run)(Arguments aArguments, const Options& aOptions);
};

constexpr std::array<std::string_view, 5> kStatusTopics{ "hosts",
                                                         "servers",
                                                         "pipelines",
                                                         "workspaces",
                                                         "control" };

ExitCode
RunStatus(Arguments aArguments, const Options& aOptions)
{
  const std::string topic = aArguments.empty() ? "hosts" : aArguments[0];
  if (std::ranges::find(kStatusTopics, topic) == kStatusTopics.end()) {
    std::cerr << "balsampoint: no status of '" << topic << "'\n";
    return ExitCode::Usage;
  }
  return Show("/v1/status/" + topic, aOptions);
}

ExitCode
RunConfig(Arguments aArguments, const Options& aOptions)
{
  if (aArguments[0] == "show") {
    return Show("/v1/configuration", aOptions);
  }
  if (aArguments[0] == "history") {
    return Show("/v1/configuration/history", aOptions);
  }
  std::cerr << "balsampoint: config show | config history\n";
  return ExitCode::Usage;
}

constexpr std::array kCommands{
  Command{ "validate",
           "validate DIR | FILE",
           "Checks a configuration's folder, or a host's settings file, and "
           "prints every problem with file, line and field.",
           1,
           1,
           [](Arguments aArguments, const Options& aOptions) {
             return Validate(aArguments[0], aOptions);
           } },
  Command{ "apply",
           "apply DIR --number N [--wait] [--timeout T] [--change_id ID]",
           "Puts the folder's configuration to the cluster under number N. "
           "The same call may be repeated: it is one change.",
           1,
           1,
           [](Arguments aArguments, const Options& aOptions) {
             return Apply(aArguments[0], aOptions);
           } },
  Command{ "watch",
           "watch DIR",
           "Applies the folder whenever its files have changed and come to "
           "rest; ends with 4 when another operator's change came between.",
           1,
           1,
           [](Arguments aArguments, const Options& aOptions) {
             return Watch(aArguments[0], aOptions);
           } },
  Command{ "config",
           "config show | config history",
           "Shows the configuration in force, or the latest changes.",
           1,
           1,
           RunConfig },
  Command{
    "status",
    "status [hosts|servers|pipelines|workspaces|control]",
    "Shows what the host knows of the topic; of the hosts if none is named.",
    0,
    1,
    RunStatus },
  Command{ "drain",
           "drain",
           "Tells the host to take no new work and to finish what it has.",
           0,
           0,
           [](Arguments /*aArguments*/, const Options& aOptions) {
             return Drain(aOptions);
           } },
  Command{ "control",
           "control add HOST | control remove HOST | control replace OLD NEW",
           "Changes the members of the control group, one at a time.",
           2,
           3,
           ChangeControl },
  Command{ "plan",
           "plan",
           "Shows which orders to model engines are planned and why.",
           0,
           0,
           [](Arguments /*aArguments*/, const Options& aOptions) {
             return Show("/v1/status/plan", aOptions);
           } },
  Command{ "explain",
           "explain REQUEST-ID < LOGS",
           "Prints what hosts logged of one request, in the order of time, "
           "and what they came to believe meanwhile.",
           1,
           1,
           [](Arguments aArguments, const Options& /*aOptions*/) {
             return Explain(aArguments[0], std::cin, std::cout);
           } },
  Command{ "route-of",
           "route-of PATH --host_name NAME [--workspace ID] [--prompt_tokens "
           "N] [--answer_tokens N] [--fingerprint HASH] [--request_id ID]",
           "Shows where an entry host would send a request now and why, "
           "without sending it.",
           1,
           1,
           [](Arguments aArguments, const Options& aOptions) {
             return RouteOf(aArguments[0], aOptions);
           } },
  Command{ "hash-key",
           "hash-key ID",
           "Makes a new random key and prints it with the salted hash for the "
           "configuration.",
           1,
           1,
           [](Arguments aArguments, const Options& aOptions) {
             return PrintNewKey(aArguments[0], aOptions);
           } },
};

constexpr std::string_view kExitCodes =
  "exit codes: 0 done, 1 failed, 2 wrong usage, 3 invalid configuration,\n"
  "4 another change has the number, 5 no host could be reached, 6 refused,\n"
  "7 accepted but not in force in time, 8 answer lost, outcome unknown\n";

void
PrintHelp(std::ostream& aStream)
{
  aStream << "usage: balsampoint COMMAND [FLAGS]; balsampoint help COMMAND\n\n";
  for (const auto& command : kCommands) {
    aStream << "  " << command.usage << '\n';
  }
  aStream << "\nflags: --hosts IP:PORT,... --key_file FILE --output table|json"
             "\n"
          << kExitCodes;
}

ExitCode
PrintHelpFor(std::string_view aName)
{
  const auto* const found = std::ranges::find(kCommands, aName, &Command::name);
  if (found == kCommands.end()) {
    PrintHelp(std::cerr);
    return ExitCode::Usage;
  }
  std::cout << "usage: balsampoint " << found->usage << '\n'
            << found->help << '\n'
            << kExitCodes;
  return ExitCode::Success;
}

std::string
Variable(const char* aName)
{
  const char* const value = std::getenv(aName); // NOLINT(concurrency-mt-unsafe)
  return value == nullptr ? std::string{} : std::string{ value };
}

std::string
ReadKey()
{
  const auto file = absl::GetFlag(FLAGS_key_file);
  if (file.empty()) {
    return Variable("BALSAMPOINT_KEY");
  }
  std::ifstream stream{ file };
  std::string key;
  std::getline(stream, key);
  return key;
}

std::optional<Options>
ReadOptions()
{
  const auto output = absl::GetFlag(FLAGS_output);
  if (output != "table" && output != "json") {
    std::cerr << "balsampoint: --output is table or json\n";
    return std::nullopt;
  }
  auto hosts = absl::GetFlag(FLAGS_hosts);
  if (hosts.empty()) {
    hosts = Variable("BALSAMPOINT_HOSTS");
  }
  return Options{
    .hosts = absl::StrSplit(hosts, ',', absl::SkipEmpty()),
    .key = ReadKey(),
    .output = output == "json" ? Output::Json : Output::Table,
    .number = absl::GetFlag(FLAGS_number),
    .changeId = absl::GetFlag(FLAGS_change_id),
    .wait = absl::GetFlag(FLAGS_wait),
    .query = { { "host", absl::GetFlag(FLAGS_host_name) },
               { "workspace", absl::GetFlag(FLAGS_workspace) },
               { "prompt_tokens", absl::GetFlag(FLAGS_prompt_tokens) },
               { "answer_tokens", absl::GetFlag(FLAGS_answer_tokens) },
               { "fingerprint", absl::GetFlag(FLAGS_fingerprint) },
               { "request_id", absl::GetFlag(FLAGS_request_id) } },
    .timeout = absl::ToChronoNanoseconds(absl::GetFlag(FLAGS_timeout))
  };
}

ExitCode
Run(std::span<const std::string> aWords)
{
  if (aWords.empty()) {
    PrintHelp(std::cerr);
    return ExitCode::Usage;
  }
  if (aWords[0] == "help") {
    if (aWords.size() == 1) {
      PrintHelp(std::cout);
      return ExitCode::Success;
    }
    return PrintHelpFor(aWords[1]);
  }
  const auto* const found =
    std::ranges::find(kCommands, aWords[0], &Command::name);
  const auto arguments = aWords.subspan(1);
  if (found == kCommands.end() || arguments.size() < found->minArguments ||
      arguments.size() > found->maxArguments) {
    std::cerr << "balsampoint: wrong usage\n";
    (void)PrintHelpFor(aWords[0]);
    return ExitCode::Usage;
  }
  const auto options = ReadOptions();
  return options ? found->run(arguments, *options) : ExitCode::Usage;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  absl::SetProgramUsageMessage(
    "Operators' command line of balsampoint. 'balsampoint help' lists the "
    "commands, 'balsampoint help COMMAND' explains one.");
  const auto words = absl::ParseCommandLine(aCount, aArguments);
  const std::vector<std::string> rest(words.begin() + 1, words.end());
  return static_cast<int>(Run(rest));
}
