#include "balsampoint/roster/command/join_tree.hpp"

#include "balsampoint/core/hash.hpp"
#include "balsampoint/roster/internal/tree.hpp"

#include <algorithm>
#include <iterator>

namespace balsampoint::roster {

namespace {

/** Relays that a control host appoints in a zone; entry hosts subscribe to two
 * of them. */
constexpr std::size_t kWantedRelays = 5;
/** Relays of a zone beyond which a control host refers further ones. */
constexpr std::size_t kMaxRelays = 8;

/** @brief Registers at one control host, a different one first on each host. */
void
RegisterAtOne(State& aState, Instant aNow, Actions& aActions)
{
  if (aState.sources.empty()) {
    return;
  }
  const auto first = HashText(aState.settings.self.Value());
  const auto at =
    (first + aState.unansweredRegistrations) % aState.sources.size();
  const auto chosen =
    std::next(aState.sources.begin(), static_cast<std::ptrdiff_t>(at));
  SendSubscription(aState, chosen->first, chosen->second, aNow, aActions);
  ++aState.unansweredRegistrations;
}

/** @brief Whether a relay passes on claims and answers in time, as far as can
 * be told yet. */
bool
IsServedByRelay(const State& aState, Instant aNow)
{
  return std::ranges::any_of(aState.relays, [&](const auto& aEntry) {
    const auto& relay = aEntry.second;
    return relay.subscribedAt != kNever &&
           !internal::IsOverdue(aState, relay.source, aNow) &&
           !internal::IsLost(aState, relay, aNow);
  });
}

/** @brief Relays that have not answered this host in time, answer without
 * reaching a control host, or are no relays any more. */
std::vector<HostId>
LostRelays(const State& aState, Instant aNow)
{
  std::vector<HostId> lost;
  for (const auto& entry : aState.relays) {
    const auto& relay = entry.second;
    if (internal::IsOverdue(aState, relay.source, aNow) ||
        internal::IsLost(aState, relay, aNow)) {
      lost.push_back(entry.first);
    }
  }
  return lost;
}

/**
 * @brief Registers an entry host at a control host: now and then while relays
 * serve it, with backoff after the start.
 */
void
Register(State& aState, Instant aNow, Actions& aActions)
{
  constexpr std::uint32_t kMaxDoublings = 2;
  const auto& settings = aState.settings;
  const bool served =
    std::ranges::any_of(aState.relays, [&](const auto& aEntry) {
      return internal::IsServing(aState, aEntry.second, aNow);
    });
  const bool asksAll = aState.attached && !IsServedByRelay(aState, aNow);
  if (asksAll || aNow < aState.nextRegistration) {
    return;
  }
  const auto doublings =
    std::min(aState.unansweredRegistrations, kMaxDoublings);
  aState.nextRegistration =
    aNow + (served
              ? settings.registrationInterval
              : settings.renewalInterval * (std::int64_t{ 1 } << doublings));
  RegisterAtOne(aState, aNow, aActions);
}

void
SubscribeAtRelays(State& aState, Instant aNow, Actions& aActions)
{
  const auto chosen = internal::ChooseRelays(aState, aNow);
  for (auto& entry : aState.relays) {
    auto& relay = entry.second;
    if (std::ranges::find(chosen, entry.first) != chosen.end()) {
      if (relay.subscribedAt == kNever) {
        relay.subscribedAt = aNow;
        relay.source.lastReceivedAt = std::nullopt;
        relay.source.unansweredSince = kNever;
      }
      SendSubscription(aState, entry.first, relay.source, aNow, aActions);
      continue;
    }
    const bool recentlyLost =
      internal::IsLost(aState, relay, aNow) &&
      aNow - relay.subscribedAt <= aState.settings.relayRetention;
    if (!recentlyLost) {
      relay.subscribedAt = kNever;
    }
  }
}

void
ForgetHosts(State& aState, Instant aNow)
{
  const auto& settings = aState.settings;
  std::erase_if(aState.sources, [&](const auto& aEntry) {
    const auto& source = aEntry.second;
    return !source.isSeed && source.lastReceivedAt &&
           aNow - *source.lastReceivedAt > settings.hostRetention;
  });
  std::erase_if(aState.relays, [&](const auto& aEntry) {
    return aNow - aEntry.second.namedAt > settings.relayRetention;
  });
  std::erase_if(aState.subscribers, [&](const auto& aEntry) {
    return aNow - aEntry.second.lastReceivedAt > settings.hostRetention;
  });
}

/** @brief Goes on relying on the control hosts that the relays reach, until
 * they answer this host itself. */
void
BecomeRelay(State& aState, const HostId& aBy, Instant aNow, Actions& aActions)
{
  for (const auto& host : internal::ReachableControls(aState, aNow)) {
    const auto source = aState.sources.find(host);
    if (source != aState.sources.end()) {
      source->second.lastReceivedAt = aNow;
    }
  }
  aState.role = Role::Relay;
  aActions.emplace_back(RoleChanged{ aState.role, aBy });
  for (auto& entry : aState.relays) {
    entry.second.subscribedAt = kNever;
  }
  for (auto& [host, source] : aState.sources) {
    SendSubscription(aState, host, source, aNow, aActions);
  }
}

Subscribe
MakeSubscription(const State& aState, const Source& aSource)
{
  return { .address = aState.settings.address,
           .zone = aState.settings.zone,
           .role = aState.role,
           .source = aSource.incarnation,
           .receivedVersion = aSource.receivedVersion,
           .hasDisk = aState.settings.hasDisk };
}

/** @brief Whether a relay has not answered the sender of a subscription. */
bool
IsLostTo(const Subscribe& aMessage, const HostId& aRelay)
{
  return std::ranges::find(aMessage.lostRelays, aRelay) !=
         aMessage.lostRelays.end();
}

} // namespace

bool
IsServed(const State& aState,
         const HostId& aFrom,
         const Subscribe& aMessage,
         Instant aNow)
{
  if (aState.role != Role::Control) {
    return aState.role == Role::Relay;
  }
  if (aMessage.role == Role::Control || aMessage.zone.Empty()) {
    return true;
  }
  const auto relays = internal::LiveRelays(aState, aMessage.zone, aNow);
  const auto others =
    std::ranges::count_if(relays, [&](const HostAddress& aRelay) {
      return aRelay.host != aFrom && !IsLostTo(aMessage, aRelay.host);
    });
  if (aMessage.role == Role::Entry) {
    return others < static_cast<std::ptrdiff_t>(kWantedRelays);
  }
  const auto before = std::ranges::count_if(
    relays, [&](const HostAddress& aRelay) { return aRelay.host < aFrom; });
  return before < static_cast<std::ptrdiff_t>(kMaxRelays);
}

void
Refer(State& aState,
      const HostId& aFrom,
      const Subscribe& aMessage,
      Instant aNow,
      Actions& aActions)
{
  aState.subscribers.erase(aFrom);
  Referral referral{ .relays =
                       internal::LiveRelays(aState, aMessage.zone, aNow) };
  std::erase_if(referral.relays, [&](const HostAddress& aRelay) {
    return aRelay.host == aFrom || IsLostTo(aMessage, aRelay.host);
  });
  if (referral.relays.empty()) {
    return;
  }
  if (aState.role == Role::Control) {
    referral.controls.push_back(
      { aState.settings.self, aState.settings.address });
  }
  for (const auto& [host, source] : aState.sources) {
    referral.controls.push_back({ host, source.address });
  }
  aActions.emplace_back(SetHostAddress{ aFrom, aMessage.address });
  aActions.emplace_back(Send{ aFrom, std::move(referral) });
}

void
SendSubscription(const State& aState,
                 const HostId& aHost,
                 Source& aSource,
                 Instant aNow,
                 Actions& aActions)
{
  aSource.unansweredSince = std::min(aSource.unansweredSince, aNow);
  aActions.emplace_back(Send{ aHost, MakeSubscription(aState, aSource) });
}

void
MergeControlHosts(State& aState,
                  std::span<const HostAddress> aControls,
                  Instant aNow,
                  Actions& aActions)
{
  for (const auto& control : aControls) {
    if (control.host == aState.settings.self) {
      continue;
    }
    auto& source = aState.sources[control.host];
    if (source.address == control.address) {
      continue;
    }
    source.address = control.address;
    aActions.emplace_back(SetHostAddress{ control.host, control.address });
    if (aState.role != Role::Entry) {
      SendSubscription(aState, control.host, source, aNow, aActions);
    }
  }
}

void
AdoptRelays(State& aState,
            std::span<const HostAddress> aRelays,
            Instant aNow,
            Actions& aActions)
{
  for (const auto& named : aRelays) {
    if (named.host == aState.settings.self) {
      continue;
    }
    auto& relay = aState.relays[named.host];
    relay.namedAt = aNow;
    if (relay.source.address != named.address) {
      relay.source.address = named.address;
      aActions.emplace_back(SetHostAddress{ named.host, named.address });
    }
  }
}

void
Attach(State& aState,
       const HostId& aFrom,
       std::span<const HostAddress> aRelays,
       Instant aNow,
       Actions& aActions)
{
  aState.attached = true;
  aState.unansweredRegistrations = 0;
  // A control host may have sent this update before another one referred this
  // host to relays.
  const bool isLate = aState.referredAt != kNever &&
                      aNow - aState.referredAt <= aState.settings.relayTimeout;
  const bool isAppointed =
    std::ranges::find(aRelays, aState.settings.self, &HostAddress::host) !=
    aRelays.end();
  if (aState.role == Role::Entry && aState.sources.contains(aFrom) &&
      isAppointed && !isLate) {
    BecomeRelay(aState, aFrom, aNow, aActions);
  }
}

void
HandleReferral(State& aState,
               const HostId& aFrom,
               const Referral& aMessage,
               Instant aNow,
               Actions& aActions)
{
  const auto control = aState.sources.find(aFrom);
  const bool fromControl = control != aState.sources.end();
  if (fromControl) {
    control->second.unansweredSince = kNever;
  }
  if (aState.role == Role::Control ||
      (aState.role == Role::Relay && !fromControl)) {
    return;
  }
  aState.unansweredRegistrations = 0;
  if (aState.role == Role::Relay) {
    aState.role = Role::Entry;
    aState.referredAt = aNow;
    aState.subscribers.clear();
    aActions.emplace_back(RoleChanged{ aState.role, aFrom });
  }
  MergeControlHosts(aState, aMessage.controls, aNow, aActions);
  const auto relay = aState.relays.find(aFrom);
  if (relay != aState.relays.end()) {
    relay->second.subscribedAt = kNever;
    relay->second.refusedAt = aNow;
  }
  AdoptRelays(aState, aMessage.relays, aNow, aActions);
  // Two hosts that are no relays any more would refer this host to each other
  // without end if it followed an entry host's referral at once.
  if (fromControl) {
    SubscribeAtRelays(aState, aNow, aActions);
  }
}

void
RenewSubscriptions(State& aState, Instant aNow, Actions& aActions)
{
  ForgetHosts(aState, aNow);
  if (aState.role == Role::Entry) {
    SubscribeAtRelays(aState, aNow, aActions);
    Register(aState, aNow, aActions);
    return;
  }
  for (auto& [host, source] : aState.sources) {
    SendSubscription(aState, host, source, aNow, aActions);
  }
}

void
AskControlHosts(State& aState, Instant aNow, Actions& aActions)
{
  const bool askedRecently =
    aState.lastAskedControls != kNever &&
    aNow - aState.lastAskedControls < aState.settings.renewalInterval;
  if (aState.role != Role::Entry || !aState.attached || askedRecently ||
      IsServedByRelay(aState, aNow)) {
    return;
  }
  aState.lastAskedControls = aNow;
  const auto lostRelays = LostRelays(aState, aNow);
  for (auto& entry : aState.sources) {
    auto& source = entry.second;
    auto subscription = MakeSubscription(aState, source);
    subscription.lostRelays = lostRelays;
    source.unansweredSince = std::min(source.unansweredSince, aNow);
    aActions.emplace_back(Send{ entry.first, std::move(subscription) });
  }
}

} // namespace balsampoint::roster
