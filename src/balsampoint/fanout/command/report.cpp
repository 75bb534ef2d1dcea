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
Merge(HostReport& aKnown, HostReport aNews)
{
  if (aNews.incarnation < aKnown.incarnation) {
    return false;
  }
  if (aNews.incarnation == aKnown.incarnation) {
    aNews.number = std::max(aNews.number, aKnown.number);
  }
  const bool changed = aKnown != aNews;
  aKnown = std::move(aNews);
  return changed;
}

void
NoteKnown(State& aState,
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
    known.heardAt = aNow;
  }
}

/** @brief Refreshes the hosts behind a relay: a report omits those that have
 * not changed. */
void
NoteRelayAlive(State& aState, const HostId& aRelay, Instant aNow)
{
  for (auto& [host, known] : aState.directory) {
    if (known.relay == aRelay && known.report.reachable) {
      known.heardAt = aNow;
    }
  }
}

/** @brief Records what a child reports of the hosts below it, for the next
 * report to the parent. */
void
NoteBelow(State& aState,
          const HostId& aFrom,
          const Report& aReport,
          Instant aNow)
{
  for (auto& [host, child] : aState.children) {
    if (child.via == aFrom && child.report.reachable) {
      child.heardAt = aNow;
    }
  }
  for (const auto& report : std::span{ aReport.hosts }.subspan(1)) {
    if (report.host == aState.settings.self.host) {
      continue;
    }
    auto& child = aState.children[report.host];
    const bool direct = child.via.Empty() && child.heardAt != Instant{} &&
                        aNow - child.heardAt <= aState.settings.silence;
    if (direct) {
      continue;
    }
    child.changed = Merge(child.report, report) || child.changed;
    child.via = aFrom;
    child.heardAt = aNow;
  }
}

void
ForgetLost(State& aState, Instant aNow)
{
  std::erase_if(aState.directory, [&](const auto& aPair) {
    return aNow - aPair.second.heardAt > aState.settings.forget;
  });
}

/** @brief Marks children as unreachable after `Settings::silence`, and removes
 * them once that was reported to the parent. */
void
DropSilent(State& aState, Instant aNow)
{
  const auto isSilent = [&](const Child& aChild) {
    return aNow - aChild.heardAt > aState.settings.silence;
  };
  std::erase_if(aState.children, [&](const auto& aPair) {
    const auto& child = aPair.second;
    return isSilent(child) && !child.report.reachable && !child.changed;
  });
  for (auto& [host, child] : aState.children) {
    if (!isSilent(child)) {
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
    NoteKnown(aState, Self(aState), aState.settings.self.host, aNow);
    return;
  }
  if (aState.parent.Empty()) {
    return;
  }
  const bool full = aNow >= aState.nextFullReport;
  if (full) {
    aState.nextFullReport = aNow + aState.settings.fullReport;
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
  child.heardAt = aNow;
  const bool news = child.changed;
  if (internal::Leads(aState)) {
    NoteRelayAlive(aState, aFrom, aNow);
    for (const auto& host : aReport.hosts) {
      NoteKnown(aState, host, aFrom, aNow);
    }
  } else {
    NoteBelow(aState, aFrom, aReport, aNow);
  }
  const bool resend = aNow - child.sentAt >= aState.settings.interval;
  if (own.number < aState.content.number &&
      (resend || child.sent < aState.content.number)) {
    SendMissing(aState, aFrom, own.number, aNow, aActions);
    child.sent = aState.content.number;
    child.sentAt = aNow;
  }
  if (news && !internal::Leads(aState)) {
    SendReport(aState, aNow, aActions);
  }
}

void
Beat(State& aState, Instant aNow, Actions& aActions)
{
  aState.nextBeat = aNow + aState.settings.interval;
  DropSilent(aState, aNow);
  if (internal::Leads(aState)) {
    ForgetLost(aState, aNow);
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
