#include "balsampoint/roster/internal/tree.hpp"

#include "balsampoint/core/hash.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace balsampoint::roster::internal {

namespace {

/** Relays that one entry host subscribes to: the loss of one of them delays no
 * claim. */
constexpr std::size_t kRelaysPerHost = 2;

std::uint64_t
Preference(const HostId& aHost, const HostId& aRelay)
{
  return HashNumber(HashText(aHost.Value()), HashText(aRelay.Value()));
}

} // namespace

bool
IsReachable(const Source& aSource, Duration aTimeout, Instant aNow)
{
  return aSource.lastReceivedAt && aNow - *aSource.lastReceivedAt <= aTimeout;
}

bool
IsOverdue(const State& aState, const Source& aSource, Instant aNow)
{
  return aSource.unansweredSince != kNever &&
         aNow - aSource.unansweredSince > aState.settings.answerTimeout;
}

bool
IsServing(const State& aState, const Relay& aRelay, Instant aNow)
{
  return aRelay.subscribedAt != kNever && !aRelay.controls.empty() &&
         IsReachable(aRelay.source, aState.settings.relayTimeout, aNow);
}

bool
IsLost(const State& aState, const Relay& aRelay, Instant aNow)
{
  if (aRelay.refusedAt != kNever &&
      aNow - aRelay.refusedAt <= aState.settings.hostTimeout) {
    return true;
  }
  if (aRelay.subscribedAt == kNever) {
    return false;
  }
  const auto& lastReceivedAt = aRelay.source.lastReceivedAt;
  const auto last =
    std::max(aRelay.subscribedAt, lastReceivedAt.value_or(aRelay.subscribedAt));
  const bool isIsolated = lastReceivedAt && aRelay.controls.empty();
  return isIsolated || aNow - last > aState.settings.relayTimeout;
}

std::vector<HostId>
ChooseRelays(const State& aState, Instant aNow)
{
  using Rank = std::tuple<bool, std::uint64_t, HostId>;
  std::vector<Rank> ranks;
  ranks.reserve(aState.relays.size());
  for (const auto& [host, relay] : aState.relays) {
    ranks.emplace_back(IsLost(aState, relay, aNow),
                       Preference(aState.settings.self, host),
                       host);
  }
  std::ranges::sort(ranks);
  std::vector<HostId> chosen;
  for (const auto& rank : ranks) {
    if (chosen.size() == kRelaysPerHost) {
      break;
    }
    chosen.push_back(std::get<HostId>(rank));
  }
  return chosen;
}

std::vector<HostId>
ReachableControls(const State& aState, Instant aNow)
{
  std::set<HostId> controls;
  if (aState.role == Role::Entry) {
    for (const auto& [host, relay] : aState.relays) {
      if (IsServing(aState, relay, aNow)) {
        controls.insert(relay.controls.begin(), relay.controls.end());
      }
    }
    return { controls.begin(), controls.end() };
  }
  if (aState.role == Role::Control) {
    controls.insert(aState.settings.self);
  }
  for (const auto& [host, source] : aState.sources) {
    if (IsReachable(source, aState.settings.hostTimeout, aNow)) {
      controls.insert(host);
    }
  }
  return { controls.begin(), controls.end() };
}

std::vector<HostAddress>
LiveRelays(const State& aState, const ZoneId& aZone, Instant aNow)
{
  const auto& settings = aState.settings;
  std::vector<HostAddress> relays;
  if (aState.role == Role::Control) {
    for (const auto& [host, subscriber] : aState.subscribers) {
      if (subscriber.role == Role::Relay && subscriber.zone == aZone &&
          aNow - subscriber.lastReceivedAt <= settings.hostTimeout) {
        relays.push_back({ host, subscriber.address });
      }
    }
    return relays;
  }
  // An entry host names only relays that serve it: names that hosts repeat to
  // each other would outlive the relays.
  const bool isEntry = aState.role == Role::Entry;
  for (const auto& [host, relay] : aState.relays) {
    const bool isLive = isEntry ? IsServing(aState, relay, aNow)
                                : aNow - relay.namedAt <= settings.hostTimeout;
    if (isLive) {
      relays.push_back({ host, relay.source.address });
    }
  }
  if (aState.role == Role::Relay) {
    relays.push_back({ settings.self, settings.address });
    std::ranges::sort(relays);
  }
  return relays;
}

} // namespace balsampoint::roster::internal
