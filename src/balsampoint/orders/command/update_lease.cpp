#include "balsampoint/orders/command/update_lease.hpp"

#include "balsampoint/orders/command/apply.hpp"
#include "balsampoint/orders/internal/bounds.hpp"

#include <algorithm>

namespace balsampoint::orders {

namespace {

bool
IsHeldBySelf(const State& aState, const Table& aTable)
{
  return aTable.holder == aState.settings.self &&
         aTable.incarnation == aState.settings.incarnation;
}

/** Time from which orders of the previous holder can have no more effect. */
Instant
TakeoverDelayEnd(const State& aState, const Table& aBefore)
{
  const bool released =
    aBefore.holder.Empty() && aBefore.fencing != FencingNumber{};
  if (released) {
    return aState.changedAt;
  }
  return aState.changedAt + internal::TakeoverDelay(aState.settings);
}

void
StartLease(State& aState, const Table& aBefore, Instant aNow)
{
  const auto& settings = aState.settings;
  aState.lease = Lease{
    .fencing = aState.table.fencing,
    .end = aState.grantRequestedAt + internal::HolderLeaseTime(settings),
    .takeoverDelayEnd = TakeoverDelayEnd(aState, aBefore),
    .renewAt = aNow + settings.renewInterval,
  };
}

void
ExtendLease(State& aState)
{
  auto& lease = aState.lease;
  if (lease.proposedRenewal == aState.table.renewals) {
    lease.end =
      lease.renewalProposedAt + internal::HolderLeaseTime(aState.settings);
  }
}

void
ProposeRenewal(State& aState, Instant aNow, std::vector<Action>& aActions)
{
  auto& lease = aState.lease;
  lease.renewAt = aNow + aState.settings.renewInterval;
  const auto renewal = aState.table.renewals + 1;
  if (lease.proposedRenewal != renewal) {
    lease.proposedRenewal = renewal;
    lease.renewalProposedAt = aNow;
  }
  aActions.emplace_back(Propose{
    Renew{ .fencing = lease.fencing, .renewal = lease.proposedRenewal } });
}

void
ProposeRelease(State& aState, Instant aNow, std::vector<Action>& aActions)
{
  const bool proposed = aState.proposeAt != kNever && aState.proposeAt > aNow;
  if (!aState.open.empty() || proposed) {
    return;
  }
  aState.proposeAt = aNow + aState.settings.proposeInterval;
  aState.lease.releasing = true;
  aActions.emplace_back(Propose{ Release{ aState.lease.fencing } });
}

Instant
GrantDueAt(const State& aState)
{
  const bool isFree =
    aState.table.holder.Empty() && aState.table.fencing != FencingNumber{};
  const auto wait =
    isFree ? Duration::zero() : internal::GrantDelay(aState.settings);
  return aState.changedAt == kNever ? kNever : aState.changedAt + wait;
}

void
RequestLease(State& aState, Instant aNow, std::vector<Action>& aActions)
{
  const auto due = std::max(
    GrantDueAt(aState), aState.proposeAt == kNever ? aNow : aState.proposeAt);
  aState.proposeAt = due;
  if (due > aNow) {
    return;
  }
  aState.proposeAt = aNow + aState.settings.proposeInterval;
  aState.grantRequestedAt = std::min(aState.grantRequestedAt, aNow);
  aActions.emplace_back(
    Propose{ Grant{ .holder = aState.settings.self,
                    .incarnation = aState.settings.incarnation,
                    .seenFencing = aState.table.fencing,
                    .seenRenewals = aState.table.renewals } });
}

} // namespace

void
HandleApplied(State& aState, const Applied& aApplied, Instant aNow)
{
  const auto before = aState.table;
  if (!Apply(aState.table, aApplied.command)) {
    return;
  }
  const bool isNew = aState.table.fencing != before.fencing;
  const bool own = IsHeldBySelf(aState, aState.table);
  if (isNew && own && aState.changedAt != kNever &&
      aState.grantRequestedAt != kNever) {
    StartLease(aState, before, aNow);
  } else if (own && aState.lease.Held()) {
    ExtendLease(aState);
  } else {
    aState.lease = {};
  }
  aState.changedAt = aNow;
  aState.grantRequestedAt = kNever;
  aState.proposeAt = kNever;
}

void
HandleRestored(State& aState, const Restored& aRestored, Instant aNow)
{
  const bool same = aState.table == aRestored.table;
  aState.table = aRestored.table;
  aState.changedAt = aNow;
  aState.grantRequestedAt = kNever;
  if (!same) {
    aState.lease = {};
  }
}

void
UpdateLease(State& aState, Instant aNow, std::vector<Action>& aActions)
{
  if (aState.changedAt == kNever) {
    aState.changedAt = aNow;
  }
  if (aState.lease.Held() && aState.lease.end <= aNow) {
    aState.lease = {};
  }
  if (!aState.lease.Held()) {
    if (aState.candidate) {
      RequestLease(aState, aNow, aActions);
    }
    return;
  }
  if (!aState.candidate || aState.lease.releasing) {
    ProposeRelease(aState, aNow, aActions);
  } else if (aState.lease.renewAt <= aNow) {
    ProposeRenewal(aState, aNow, aActions);
  }
}

} // namespace balsampoint::orders
