#include "balsampoint/fanout/command/report.hpp"

#include "balsampoint/fanout/command/distribute.hpp"
#include "balsampoint/fanout/internal/root.hpp"

#include <algorithm>
#include <span>
#include <tuple>
#include <utility>

namespace balsampoint::fanout {

namespace {

HostReport
Self(const State& aState)
{
  auto self = aState.settings.self;
  self.number = aState.inForce;
  return self;
}

/**
 * @brief Merges a report that may be older than the known one. Within one
 * incarnation of a host the number in force never decreases.
 * @return Whether the known report changed.
 */
bool
Merge(HostReport& aKnown, HostReport aReport)
{
  if (aReport.incarnation < aKnown.incarnation) {
    return false;
  }
  if (aReport.incarnation == aKnown.incarnation) {
    aReport.number = std::max(aReport.number, aKnown.number);
  }
  const bool changed = aKnown != aReport;
  aKnown = std::move(aReport);
  return changed;
}

void
RecordHost(State& aState,
           const HostReport& aReport,
           const HostId& aRelay,
           Instant aNow)
{
  auto& known = aState.directory[aReport.host];
  if (aReport.incarnation < known.report.incarnation) {
    return;
  }
  if (aReport.reachable || known.relay == aRelay || known.relay.Empty()) {
    std::ignore = Merge(known.report, aReport);
    known.relay = aRelay;
    known.lastReceivedAt = aNow;
  }
}

/** @brief Refreshes the hosts behind a relay: a report omits those that have
 * not changed. */
void
RefreshHostsBehind(State& aState, const HostId& aRelay, Instant aNow)
{
  for (auto& [host, known] : aState.directory) {
    if (known.relay == aRelay && known.report.reachable) {
      known.lastReceivedAt = aNow;
    }
  }
}

/** @brief Records what a child reports of the hosts below it, for the next
 * report to the parent. */
void
RecordDescendants(State& aState,
                  const HostId& aFrom,
                  const Report& aReport,
                  Instant aNow)
{
  for (auto& [host, child] : aState.children) {
    if (child.via == aFrom && child.report.reachable) {
      child.lastReceivedAt = aNow;
    }
  }
  for (const auto& report : std::span{ aReport.hosts }.subspan(1)) {
    if (report.host == aState.settings.self.host) {
      continue;
    }
    auto& child = aState.children[report.host];
    const bool direct =
      child.via.Empty() && child.lastReceivedAt != Instant{} &&
      aNow - child.lastReceivedAt <= aState.settings.contactTimeout;
    if (direct) {
      continue;
    }
    child.changed = Merge(child.report, report) || child.changed;
    child.via = aFrom;
    child.lastReceivedAt = aNow;
  }
}

void
RemoveLost(State& aState, Instant aNow)
{
  std::erase_if(aState.directory, [&](const auto& aPair) {
    return aNow - aPair.second.lastReceivedAt > aState.settings.hostRetention;
  });
}

/** @brief Marks children as unreachable after `Settings::contactTimeout`, and
 * removes them once that was reported to the parent. */
void
ExpireChildren(State& aState, Instant aNow)
{
  const auto isLost = [&](const Child& aChild) {
    return aNow - aChild.lastReceivedAt > aState.settings.contactTimeout;
  };
  std::erase_if(aState.children, [&](const auto& aPair) {
    const auto& child = aPair.second;
    return isLost(child) && !child.report.reachable && !child.changed;
  });
  for (auto& [host, child] : aState.children) {
    if (!isLost(child)) {
      continue;
    }
    child.changed = child.report.reachable || child.changed;
    child.report.reachable = false;
  }
}

} // namespace

void
SendReport(State& aState, Instant aNow, Actions& aActions)
{
  if (internal::Leads(aState)) {
    RecordHost(aState, Self(aState), aState.settings.self.host, aNow);
    return;
  }
  if (aState.parent.Empty()) {
    return;
  }
  const bool full = aNow >= aState.nextFullReport;
  if (full) {
    aState.nextFullReport = aNow + aState.settings.fullReportInterval;
  }
  Report report{ { Self(aState) } };
  for (auto& [host, child] : aState.children) {
    if (!full && !child.changed) {
      continue;
    }
    report.hosts.push_back(child.report);
    child.changed = false;
  }
  aActions.emplace_back(Send{ aState.parent, std::move(report) });
}

void
HandleReport(State& aState,
             const HostId& aFrom,
             const Report& aReport,
             Instant aNow,
             Actions& aActions)
{
  if (aReport.hosts.empty() || aReport.hosts.front().host != aFrom) {
    return;
  }
  const auto& own = aReport.hosts.front();
  auto& child = aState.children[aFrom];
  child.changed = Merge(child.report, own) || child.changed;
  child.via = {};
  child.lastReceivedAt = aNow;
  const bool changed = child.changed;
  if (internal::Leads(aState)) {
    RefreshHostsBehind(aState, aFrom, aNow);
    for (const auto& host : aReport.hosts) {
      RecordHost(aState, host, aFrom, aNow);
    }
  } else {
    RecordDescendants(aState, aFrom, aReport, aNow);
  }
  const bool resend = aNow - child.sentAt >= aState.settings.heartbeatInterval;
  if (own.number < aState.content.number &&
      (resend || child.sent < aState.content.number)) {
    SendMissing(aState, aFrom, own.number, aNow, aActions);
    child.sent = aState.content.number;
    child.sentAt = aNow;
  }
  if (changed && !internal::Leads(aState)) {
    SendReport(aState, aNow, aActions);
  }
}

void
SendHeartbeats(State& aState, Instant aNow, Actions& aActions)
{
  aState.nextHeartbeat = aNow + aState.settings.heartbeatInterval;
  ExpireChildren(aState, aNow);
  if (internal::Leads(aState)) {
    RemoveLost(aState, aNow);
  }
  const auto number = aState.content.number;
  const auto age = internal::RootAge(aState, aNow);
  for (const auto& [host, child] : aState.children) {
    if (!child.via.Empty()) {
      continue;
    }
    aActions.emplace_back(
      Send{ host, Update{ number, number, false, {}, aState.leader, age } });
  }
  SendReport(aState, aNow, aActions);
}

} // namespace balsampoint::fanout
