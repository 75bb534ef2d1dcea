#pragma once

#include "balsampoint/config/query/load_gateway_settings.hpp"
#include "balsampoint/daemon/gateway.hpp"
#include "balsampoint/peer/library_log.hpp"
#include "balsampoint/trace/event.hpp"
#include "balsampoint/trace/log.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <malloc.h>
#include <pthread.h>
#include <spdlog/spdlog.h>
#include <string>

ABSL_DECLARE_FLAG(std::string, settings);

namespace balsampoint::daemon {

/** @brief Exit code for settings that can't be read. */
inline constexpr int kBadSettings = 2;

/** @brief Signals that the process waits for. */
[[nodiscard]] inline sigset_t
AwaitedSignals()
{
  sigset_t signals{};
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

/**
 * @brief Waits for the signal that ends the process.
 * @param aSignals Signals that are blocked and awaited.
 */
inline void
AwaitStop(const sigset_t& aSignals)
{
  int signal = SIGHUP;
  while (signal == SIGHUP) {
    sigwait(&aSignals, &signal);
    if (signal == SIGHUP) {
      trace::Event{ "settings_kept" }.With(
        "reason", "settings are read at the start only");
    }
  }
}

/**
 * @brief Makes the allocator return the memory of large blocks at once.
 *
 * Without this, glibc raises the size from which a block has pages of its own
 * to that of the largest block that was freed, so that later bodies come from
 * heaps that keep their pages.
 */
inline void
LimitAllocator()
{
  constexpr int kOwnPagesBytes = 128 * 1024;
  constexpr int kHeaps = 2;
  // Called before any other thread starts.
  mallopt(M_MMAP_THRESHOLD, kOwnPagesBytes); // NOLINT(concurrency-mt-unsafe)
  mallopt(M_TRIM_THRESHOLD, kOwnPagesBytes); // NOLINT(concurrency-mt-unsafe)
  mallopt(M_ARENA_MAX, kHeaps);              // NOLINT(concurrency-mt-unsafe)
}

/**
 * @brief Runs a gateway until it is told to stop.
 * @tparam D Names and formats of messages.
 * @param aCount Number of arguments.
 * @param aArguments Arguments; `--settings` names the settings file.
 * @param aVariable Environment variable that names it otherwise.
 * @return The process's exit code.
 */
template<edge::Dialect D>
int
RunGateway(int aCount, char** aArguments, const char* aVariable)
{
  absl::SetProgramUsageMessage("Gateway of one host: --settings FILE");
  absl::ParseCommandLine(aCount, aArguments);
  const auto signals = AwaitedSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  LimitAllocator();
  std::signal(SIGPIPE, SIG_IGN);
  // A write over the limit of a file's size is to fail like one to a full disk.
  std::signal(SIGXFSZ, SIG_IGN);
  std::string file = absl::GetFlag(FLAGS_settings);
  // No other thread runs yet.
  // NOLINTNEXTLINE(concurrency-mt-unsafe)
  const char* named = std::getenv(aVariable);
  if (file.empty() && named != nullptr) {
    file = named;
  }
  const auto settings = config::LoadGatewaySettings(file);
  if (!settings) {
    for (const auto& problem : settings.error()) {
      std::cerr << config::ToString(problem) << '\n';
    }
    return kBadSettings;
  }
  trace::ConfigureEventLog(settings->log.level, settings->host);
  peer::RouteLibraryLog();
  auto gateway = BasicGateway<D>::Start(*settings);
  if (!gateway) {
    std::cerr << gateway.error().detail << '\n';
    return 1;
  }
  trace::Event{ "started" }.With("zone", settings->zone);
  AwaitStop(signals);
  trace::Write("stopping");
  (*gateway)->Drain();
  // Its threads write to the log until they have ended.
  gateway->reset();
  trace::Write("stopped");
  spdlog::shutdown();
  return 0;
}

} // namespace balsampoint::daemon
