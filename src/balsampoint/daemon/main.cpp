#include "balsampoint/config/query/load_settings.hpp"
#include "balsampoint/daemon/node.hpp"
#include "balsampoint/trace/log.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>
#include <spdlog/spdlog.h>

ABSL_FLAG(std::string, settings, "", "Settings file of this host.");
namespace {

using namespace balsampoint;

constexpr int kUsageError = 2;

int
Fail(const config::Problems& aProblems)
{
  for (const auto& problem : aProblems) {
    spdlog::error("{}", config::ToString(problem));
  }
  return kUsageError;
}

int
Serve(const config::Settings& aSettings, const sigset_t& aSignals)
{
  auto node = daemon::Node::Start(aSettings);
  if (!node) {
    spdlog::error("{}", node.error().detail);
    return 1;
  }
  spdlog::info("host {} serves callers on {}",
               aSettings.host.Value(),
               aSettings.listen.callers.Text());
  int signal = 0;
  sigwait(&aSignals, &signal);
  spdlog::info("stopping");
  const bool finished = (*node)->Drain();
  spdlog::info("work in progress {}", finished ? "finished" : "cut off");
  return 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  absl::SetProgramUsageMessage("Daemon of one host: --settings FILE");
  absl::ParseCommandLine(aCount, aArguments);
  sigset_t signals{};
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // A write over the limit of a file's size is to fail like one to a full disk.
  std::signal(SIGXFSZ, SIG_IGN);
  const auto settings = config::LoadSettings(absl::GetFlag(FLAGS_settings));
  if (!settings) {
    return Fail(settings.error());
  }
  trace::ConfigureLog(settings->log, settings->host);
  return Serve(*settings, signals);
}
