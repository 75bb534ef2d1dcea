#include "balsampoint/memory/command/relieve.hpp"

#include "balsampoint/memory/internal/sizes.hpp"

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace balsampoint::memory {

namespace {

/** @brief A large holder that may be chosen. */
struct Candidate
{
  HolderId id{};
  Holder* holder{};
  bool stalled{ false };
};

/** Whether the peer, and not this host, is why a holder makes no progress. */
bool
IsStalled(const State& aState, const Holder& aHolder, Instant aNow)
{
  return !aHolder.paused && aHolder.work != Work::Running &&
         aNow - aHolder.progressAt >= aState.settings.patience;
}

/** Order of choice; the lowest rank comes first. */
auto
Rank(const Candidate& aCandidate)
{
  const auto& holder = *aCandidate.holder;
  return std::tuple{ !aCandidate.stalled,
                     holder.work == Work::Running,
                     holder.work == Work::Sending,
                     ~holder.bytes,
                     holder.progressAt,
                     aCandidate.id };
}

std::vector<Candidate>
FindCandidates(State& aState, Instant aNow)
{
  std::vector<Candidate> candidates;
  for (auto& [id, holder] : aState.holders) {
    if (holder.ending || !internal::IsLarge(aState, holder)) {
      continue;
    }
    candidates.push_back({ id, &holder, IsStalled(aState, holder, aNow) });
  }
  std::ranges::sort(candidates, {}, &Rank);
  return candidates;
}

} // namespace

std::vector<Action>
Relieve(State& aState, Instant aNow)
{
  std::vector<Action> actions;
  // Those that were chosen before are about to release their bytes.
  std::uint64_t released = 0;
  for (const auto& [id, holder] : aState.holders) {
    released += holder.ending ? holder.bytes : 0;
  }
  for (const auto& candidate : FindCandidates(aState, aNow)) {
    auto& holder = *candidate.holder;
    const bool crowded =
      aState.largeBytes >= released + internal::LargeBudget(aState);
    const bool over = aState.heldBytes > released + aState.settings.budgetBytes;
    if (!over && !(crowded && candidate.stalled)) {
      continue;
    }
    holder.ending = true;
    released += holder.bytes;
    actions.push_back(
      { candidate.id,
        holder.work == Work::Receiving ? Relief::Refuse : Relief::Cut,
        holder.bytes });
  }
  return actions;
}

} // namespace balsampoint::memory
