#include "balsampoint/reach/command/record_check.hpp"

#include <utility>

namespace balsampoint::reach {

namespace {

/** @brief The link that follows from a check, and the number of successful
 * checks in a row. */
Link
Judge(State& aState, CheckResult aResult)
{
  if (aResult != CheckResult::Reached) {
    aState.successes = 0;
    aState.silent = aState.silent || aResult == CheckResult::Silent;
    return Link::Down;
  }
  if (aState.link == Link::Up) {
    return Link::Up;
  }
  return ++aState.successes < aState.settings.checksToRecover ? Link::Down
                                                              : Link::Up;
}

} // namespace

void
RecordConnected(State& aState, Instant aNow)
{
  aState.connectedAt = aNow;
}

void
BeginCheck(State& aState, Instant aNow)
{
  aState.checkedAt = aNow;
}

bool
RecordCheck(State& aState, CheckResult aResult, Instant aNow)
{
  if (aResult == CheckResult::Reached) {
    RecordConnected(aState, aNow);
  }
  const auto link = Judge(aState, aResult);
  if (std::exchange(aState.link, link) == link) {
    return false;
  }
  aState.successes = 0;
  aState.silent = aState.silent && link == Link::Down;
  aState.changedAt = aNow;
  return true;
}

} // namespace balsampoint::reach
