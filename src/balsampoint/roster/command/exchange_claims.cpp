#include "balsampoint/roster/command/exchange_claims.hpp"

#include "balsampoint/roster/command/confirm_departures.hpp"
#include "balsampoint/roster/command/join_tree.hpp"
#include "balsampoint/roster/command/track_heartbeats.hpp"
#include "balsampoint/roster/internal/merge.hpp"
#include "balsampoint/roster/internal/tree.hpp"

#include <algorithm>
#include <span>
#include <utility>

namespace balsampoint::roster {

namespace {

/** @brief Addresses of the control hosts whose claims reach this host. */
std::vector<HostAddress>
ControlAddresses(const State& aState, Instant aNow)
{
  std::vector<HostAddress> controls;
  if (aState.isolated) {
    return controls;
  }
  for (const auto& host : internal::ReachableControls(aState, aNow)) {
    const auto source = aState.sources.find(host);
    if (source != aState.sources.end()) {
      controls.push_back({ host, source->second.address });
    } else if (host == aState.settings.self) {
      controls.push_back({ host, aState.settings.address });
    }
  }
  return controls;
}

/** @brief Claims for subscribers that changed after a version. */
std::vector<OwnedClaim>
ClaimsSince(const State& aState, std::uint64_t aBase)
{
  std::vector<OwnedClaim> claims;
  if (aState.role == Role::Control) {
    for (const auto& [id, local] : aState.localServers) {
      if (local.version > aBase) {
        claims.push_back({ local.claim, aState.settings.self });
      }
    }
    return claims;
  }
  for (const auto& [id, record] : aState.records) {
    if (record.version > aBase) {
      claims.push_back({ record.claim, record.owner });
    }
  }
  return claims;
}

Update
MakeUpdate(const State& aState,
           const Subscriber& aSubscriber,
           std::uint64_t aBase,
           Instant aNow)
{
  Update update{ .source = aState.settings.incarnation,
                 .zone = aState.settings.zone,
                 .base = aBase,
                 .version = aState.version,
                 .claims = ClaimsSince(aState, aBase),
                 .controls = ControlAddresses(aState, aNow),
                 .configuration = aState.configuration };
  if (aSubscriber.role != Role::Control) {
    update.relays = internal::LiveRelays(aState, aSubscriber.zone, aNow);
  }
  return update;
}

/** @brief Sends a host what it lacks without subscribing it: its relays are
 * lost, and those that it is referred to may be lost too. */
void
SendOnce(const State& aState,
         const HostId& aTo,
         const Subscribe& aMessage,
         std::uint64_t aBase,
         Instant aNow,
         Actions& aActions)
{
  const Subscriber asker{ .role = aMessage.role, .zone = aMessage.zone };
  auto update = MakeUpdate(aState, asker, aBase, aNow);
  std::erase_if(update.relays,
                [&](const HostAddress& aRelay) { return aRelay.host == aTo; });
  aActions.emplace_back(SetHostAddress{ aTo, aMessage.address });
  aActions.emplace_back(Send{ aTo, std::move(update) });
}

/** @brief The host that sent an update, if this host subscribes to it. */
Source*
FindSource(State& aState, const HostId& aHost)
{
  const auto control = aState.sources.find(aHost);
  if (control != aState.sources.end()) {
    return &control->second;
  }
  const auto relay = aState.relays.find(aHost);
  const bool subscribed =
    relay != aState.relays.end() && relay->second.subscribedAt != kNever;
  return subscribed ? &relay->second.source : nullptr;
}

void
RecordReachableControls(State& aState,
                        const HostId& aRelay,
                        std::span<const HostAddress> aControls)
{
  const auto found = aState.relays.find(aRelay);
  if (found == aState.relays.end()) {
    return;
  }
  found->second.controls.clear();
  for (const auto& control : aControls) {
    found->second.controls.push_back(control.host);
  }
}

bool
HasDeparture(const Update& aMessage)
{
  return std::ranges::any_of(aMessage.claims, [](const OwnedClaim& aOwned) {
    const auto presence = aOwned.claim.presence;
    return presence == Presence::Leaving || presence == Presence::Gone;
  });
}

void
MergeClaims(State& aState,
            const HostId& aFrom,
            const Update& aMessage,
            Instant aNow)
{
  for (const auto& [claim, owner] : aMessage.claims) {
    if (internal::Merge(aState, claim, owner.Empty() ? aFrom : owner, aNow)) {
      AdoptDeparture(aState, claim, aNow);
    }
    ReadvertiseClaim(aState, claim, aNow);
  }
}

void
SendChanges(State& aState, Instant aNow, Actions& aActions)
{
  for (auto& [host, subscriber] : aState.subscribers) {
    const bool isUpToDate =
      subscriber.sentVersion >= aState.version &&
      subscriber.sentConfiguration >= aState.configuration;
    if (isUpToDate ||
        aNow - subscriber.lastReceivedAt > aState.settings.hostTimeout) {
      continue;
    }
    aActions.emplace_back(Send{
      host, MakeUpdate(aState, subscriber, subscriber.sentVersion, aNow) });
    subscriber.sentVersion = aState.version;
    subscriber.sentConfiguration = aState.configuration;
    aState.lastPushAt = aNow;
  }
}

} // namespace

void
PushChanges(State& aState, Instant aNow, Actions& aActions)
{
  if (aState.role == Role::Entry || aState.subscribers.empty()) {
    aState.nextPush = kNever;
    return;
  }
  const auto allowedAt =
    aState.lastPushAt == Instant::min()
      ? aNow
      : aState.lastPushAt + aState.settings.minPushInterval;
  if (aNow < allowedAt) {
    aState.nextPush = allowedAt;
    return;
  }
  aState.nextPush = kNever;
  SendChanges(aState, aNow, aActions);
}

void
ReportIsolation(State& aState, Instant aNow, Actions& aActions)
{
  const bool isolated =
    aState.role == Role::Relay && !aState.sources.empty() &&
    std::ranges::all_of(aState.sources, [&](const auto& aEntry) {
      const auto since = aEntry.second.unansweredSince;
      return since != kNever && aNow - since >= aState.settings.renewalInterval;
    });
  if (std::exchange(aState.isolated, isolated) || !isolated) {
    return;
  }
  for (const auto& [host, subscriber] : aState.subscribers) {
    if (aNow - subscriber.lastReceivedAt <= aState.settings.hostTimeout) {
      aActions.emplace_back(Send{
        host, MakeUpdate(aState, subscriber, subscriber.sentVersion, aNow) });
    }
  }
}

void
HandleSubscribe(State& aState,
                const HostId& aFrom,
                const Subscribe& aMessage,
                Instant aNow,
                Actions& aActions)
{
  const bool sameSource = aMessage.source == aState.settings.incarnation;
  const auto base = sameSource ? aMessage.receivedVersion : 0;
  if (!IsServed(aState, aFrom, aMessage, aNow)) {
    Refer(aState, aFrom, aMessage, aNow, aActions);
    if (aState.role == Role::Control && !aMessage.lostRelays.empty()) {
      SendOnce(aState, aFrom, aMessage, base, aNow, aActions);
    }
    return;
  }
  auto& subscriber = aState.subscribers[aFrom];
  if (subscriber.address != aMessage.address) {
    aActions.emplace_back(SetHostAddress{ aFrom, aMessage.address });
  }
  // A control host serves entry hosts only as relays.
  const bool appointed =
    aState.role == Role::Control && aMessage.role == Role::Entry;
  subscriber = { .lastReceivedAt = aNow,
                 .role = appointed ? Role::Relay : aMessage.role,
                 .zone = aMessage.zone,
                 .address = aMessage.address,
                 .sentVersion = aState.version,
                 .sentConfiguration = aState.configuration,
                 .confirmedVersion = base,
                 .hasDisk =
                   aMessage.role == Role::Control && aMessage.hasDisk };
  if (aMessage.role == Role::Control && aFrom != aState.settings.self) {
    MergeControlHosts(aState,
                      std::vector{ HostAddress{ aFrom, aMessage.address } },
                      aNow,
                      aActions);
  }
  aActions.emplace_back(
    Send{ aFrom, MakeUpdate(aState, subscriber, base, aNow) });
  SettleDepartures(aState, aNow, aActions);
}

void
HandleUpdate(State& aState,
             const HostId& aFrom,
             const Update& aMessage,
             Instant aNow,
             Actions& aActions)
{
  auto* source = FindSource(aState, aFrom);
  if (source == nullptr) {
    return;
  }
  source->lastReceivedAt = aNow;
  source->unansweredSince = kNever;
  if (source->incarnation != aMessage.source) {
    source->incarnation = aMessage.source;
    source->receivedVersion = 0;
  }
  RecordReachableControls(aState, aFrom, aMessage.controls);
  if (aMessage.controls.empty()) {
    AskControlHosts(aState, aNow, aActions);
  }
  if (aMessage.base > source->receivedVersion) {
    SendSubscription(aState, aFrom, *source, aNow, aActions);
    return;
  }
  MergeClaims(aState, aFrom, aMessage, aNow);
  const bool isNews = aMessage.version > source->receivedVersion;
  source->receivedVersion = std::max(source->receivedVersion, aMessage.version);
  if (aState.role == Role::Control && isNews && HasDeparture(aMessage)) {
    // Confirms what was received; the other control host waits for it.
    SendSubscription(aState, aFrom, *source, aNow, aActions);
  }
  aActions.emplace_back(ConfigurationAdvertised{
    aFrom, aMessage.configuration, aMessage.zone == aState.settings.zone });
  MergeControlHosts(aState, aMessage.controls, aNow, aActions);
  AdoptRelays(aState, aMessage.relays, aNow, aActions);
  Attach(aState, aFrom, aMessage.relays, aNow, aActions);
}

} // namespace balsampoint::roster
