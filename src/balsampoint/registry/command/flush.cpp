#include "balsampoint/registry/command/flush.hpp"

#include "balsampoint/core/hash.hpp"
#include "balsampoint/registry/internal/contact.hpp"
#include "balsampoint/registry/internal/entries.hpp"
#include "balsampoint/registry/internal/summarize.hpp"

#include <algorithm>

namespace balsampoint::registry {

namespace {

using Actions = std::vector<Action>;

void
SendDeltas(State& aState, Instant aNow, Actions& aActions)
{
  auto& outbox = aState.outbox;
  if (outbox.deltaAt > aNow) {
    return;
  }
  const auto entries = internal::EntriesOf(aState, outbox.deltas);
  for (const auto& host : aState.zoneHosts) {
    internal::SendEntries(host, entries, aActions);
  }
  outbox.deltas.clear();
  outbox.deltaAt = kNever;
  outbox.lastDeltaAt = aNow;
}

void
SendLoads(State& aState, Instant aNow, Actions& aActions)
{
  auto& outbox = aState.outbox;
  if (outbox.loadAt > aNow) {
    return;
  }
  const Loads message{ .reports = internal::LoadsOf(aState, outbox.loads) };
  for (const auto& host : aState.zoneHosts) {
    aActions.emplace_back(Send{ .to = host, .message = message });
  }
  outbox.loads.clear();
  outbox.loadAt = kNever;
  outbox.lastLoadAt = aNow;
}

void
SendRenewals(State& aState, Instant aNow, Actions& aActions)
{
  auto& outbox = aState.outbox;
  if (outbox.renewalAt > aNow) {
    return;
  }
  std::map<HostId, std::vector<ServerId>> byOwner;
  for (const auto& server : outbox.renewals) {
    const auto found = aState.records.find(server);
    if (found != aState.records.end()) {
      byOwner[found->second.claim.owner].push_back(server);
    }
  }
  for (const auto& [owner, servers] : byOwner) {
    if (owner == aState.settings.self) {
      continue;
    }
    aActions.emplace_back(Send{
      .to = owner,
      .message = Renewals{ .reports = internal::LoadsOf(aState, servers) } });
  }
  outbox.renewals.clear();
  outbox.renewalAt = kNever;
}

void
SendDigest(State& aState, Instant aNow, Actions& aActions)
{
  auto& outbox = aState.outbox;
  if (outbox.digestAt > aNow || aState.zoneHosts.empty()) {
    return;
  }
  outbox.digestAt = aNow + aState.settings.digestInterval;
  const auto offset = aState.random.Next() % aState.zoneHosts.size();
  const auto to =
    std::next(aState.zoneHosts.begin(), static_cast<std::ptrdiff_t>(offset));
  aActions.emplace_back(
    Send{ .to = *to,
          .message =
            Digest{ .hash = internal::HashOf(aState),
                    .overdueHosts = internal::OverdueHosts(aState, aNow) } });
}

/** Whether this host is the one that sends the summary of its zone to other
 * zones: the one with the lowest hash of its id. */
bool
IsSummarySender(const State& aState)
{
  const auto own = HashText(aState.settings.self.Value());
  return std::ranges::all_of(aState.zoneHosts, [&](const HostId& aHost) {
    return own < HashText(aHost.Value());
  });
}

void
SendSummary(State& aState, Actions& aActions)
{
  auto summary = internal::Summarize(aState);
  auto& known = aState.summaries[aState.settings.zone];
  summary.number = known.summary.number + 1;
  known = { .summary = { .zone = summary.zone, .number = summary.number },
            .expiry = kNever };
  for (const auto& [zone, hosts] : aState.remoteHosts) {
    const auto& to = hosts[aState.random.Next() % hosts.size()];
    aActions.emplace_back(Send{
      .to = to, .message = Summary{ .summary = summary, .relay = true } });
  }
  for (const auto& host : aState.zoneHosts) {
    aActions.emplace_back(
      Send{ .to = host, .message = Summary{ .summary = known.summary } });
  }
}

void
SummarizeIfDue(State& aState, Instant aNow, Actions& aActions)
{
  auto& outbox = aState.outbox;
  if (outbox.summaryAt > aNow || aState.remoteHosts.empty()) {
    return;
  }
  const auto structure = internal::StructureOf(aState);
  const bool due =
    outbox.lastSummaryAt == Instant::min() ||
    structure != aState.sentStructure ||
    outbox.lastSummaryAt + aState.settings.summaryInterval <= aNow;
  if (due && IsSummarySender(aState)) {
    SendSummary(aState, aActions);
    aState.sentStructure = structure;
    outbox.lastSummaryAt = aNow;
  }
  outbox.summaryAt = aNow + aState.settings.minSummaryInterval;
}

} // namespace

void
Flush(State& aState, Instant aNow, std::vector<Action>& aActions)
{
  SendDeltas(aState, aNow, aActions);
  SendLoads(aState, aNow, aActions);
  SendRenewals(aState, aNow, aActions);
  SendDigest(aState, aNow, aActions);
  SummarizeIfDue(aState, aNow, aActions);
}

} // namespace balsampoint::registry
