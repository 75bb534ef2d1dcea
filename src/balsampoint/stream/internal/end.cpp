#include "balsampoint/stream/internal/end.hpp"

#include <utility>

namespace balsampoint::stream::internal {

namespace {

constexpr Duration kCancelTime = std::chrono::seconds{ 1 };

void
Release(Progress& aProgress, Instant aNow, std::vector<Action>& aActions)
{
  aProgress.phase = Phase::Ended;
  aProgress.pending.reset();
  aProgress.vacancy.reset();
  for (auto& session : aProgress.sessions) {
    session.target.deadline = aNow + kCancelTime;
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
  Release(aProgress, aNow, aActions);
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
  Release(aProgress, aNow, aActions);
}

} // namespace balsampoint::stream::internal
