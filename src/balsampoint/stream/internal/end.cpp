#include "balsampoint/stream/internal/end.hpp"

#include <utility>

namespace balsampoint::stream::internal {

namespace {

constexpr Duration kCancelTimeout = std::chrono::seconds{ 1 };

void
EndAndCancel(Progress& aProgress, Instant aNow, std::vector<Action>& aActions)
{
  aProgress.phase = Phase::Ended;
  aProgress.pending.reset();
  aProgress.pendingChoice.reset();
  for (auto& session : aProgress.sessions) {
    session.target.deadline = aNow + kCancelTimeout;
    aActions.emplace_back(
      CancelAt{ .target = session.target, .request = session.request });
  }
  aProgress.sessions.clear();
}

} // namespace

void
Complete(Progress& aProgress,
         FinishReason aReason,
         Instant aNow,
         std::vector<Action>& aActions)
{
  aActions.emplace_back(Finish{ .reason = aReason });
  EndAndCancel(aProgress, aNow, aActions);
}

void
GiveUp(Progress& aProgress,
       Error aError,
       Instant aNow,
       std::vector<Action>& aActions)
{
  if (aProgress.sessions.empty()) {
    aError.executed = Executed::No;
  } else if (aError.executed == Executed::No) {
    aError.executed = Executed::Unknown;
  }
  aActions.emplace_back(Fail{ .error = std::move(aError) });
  EndAndCancel(aProgress, aNow, aActions);
}

} // namespace balsampoint::stream::internal
