#include "balsampoint/cli/internal/pause.hpp"

#include <csignal>
#include <pthread.h>

namespace balsampoint::cli {

namespace {

sigset_t
EndingSignals()
{
  sigset_t signals{};
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  return signals;
}

} // namespace

Pause::Pause()
{
  const auto signals = EndingSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

bool
Pause::For(Duration aTime) const
{
  const auto signals = EndingSignals();
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(aTime);
  const timespec wait{ .tv_sec = seconds.count(),
                       .tv_nsec = (aTime - seconds).count() };
  return sigtimedwait(&signals, nullptr, &wait) < 0;
}

} // namespace balsampoint::cli
