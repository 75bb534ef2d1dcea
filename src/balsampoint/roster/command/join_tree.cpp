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
RegisterAtOne(State& aState, Actions& aActions)
{
  if (aState.sources.empty()) {
    return;
  }
  const auto first = HashText(aState.settings.self.Value());
  const auto at =
    (first + aState.unansweredRegistrations) % aState.sources.size();
  const auto chosen =
    std::next(aState.sources.begin(), static_cast<std::ptrdiff_t>(at));
  SendSubscription(aState, chosen->first, chosen->second, aActions);
  ++aState.unansweredRegistrations;
}

bool
HasBeenAttached(const State& aState)
{
  return aState.revision > 0;
}

/**
 * @brief Registers an entry host at control hosts: now and then while relays
 * serve it, with backoff after the start, and at all of them once it has lost
 * its relays.
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
  if (!served && HasBeenAttached(aState)) {
    for (const auto& [host, source] : aState.sources) {
      SendSubscription(aState, host, source, aActions);
    }
    return;
  }
  if (aNow < aState.nextRegistration) {
    return;
  }
  const auto doublings =
    std::min(aState.unansweredRegistrations, kMaxDoublings);
  aState.nextRegistration =
    aNow + (served
              ? settings.registrationInterval
              : settings.renewalInterval * (std::int64_t{ 1 } << doublings));
  RegisterAtOne(aState, aActions);
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
      }
      SendSubscription(aState, entry.first, relay.source, aActions);
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
BecomeRelay(State& aState, Instant aNow, Actions& aActions)
{
  for (const auto& host : internal::ReachableControls(aState, aNow)) {
    const auto source = aState.sources.find(host);
    if (source != aState.sources.end()) {
      source->second.lastReceivedAt = aNow;
    }
  }
  aState.role = Role::Relay;
  for (auto& entry : aState.relays) {
    entry.second.subscribedAt = kNever;
  }
  for (const auto& [host, source] : aState.sources) {
    SendSubscription(aState, host, source, aActions);
  }
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
  const auto others = std::ranges::count_if(
    relays, [&](const HostAddress& aRelay) { return aRelay.host != aFrom; });
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
    return aRelay.host == aFrom;
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
                 const Source& aSource,
                 Actions& aActions)
{
  aActions.emplace_back(
    Send{ aHost,
          Subscribe{ .address = aState.settings.address,
                     .zone = aState.settings.zone,
                     .role = aState.role,
                     .source = aSource.incarnation,
                     .receivedVersion = aSource.receivedVersion } });
}

void
MergeControlHosts(State& aState,
                  std::span<const HostAddress> aControls,
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
      SendSubscription(aState, control.host, source, aActions);
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
Attach(State& aState, const HostId& aFrom, Instant aNow, Actions& aActions)
{
  aState.unansweredRegistrations = 0;
  // A control host may have sent this update before another one referred this
  // host to relays.
  const bool isLate = aState.referredAt != kNever &&
                      aNow - aState.referredAt <= aState.settings.relayTimeout;
  if (aState.role == Role::Entry && aState.sources.contains(aFrom) && !isLate) {
    BecomeRelay(aState, aNow, aActions);
  }
}

void
HandleReferral(State& aState,
               const HostId& aFrom,
               const Referral& aMessage,
               Instant aNow,
               Actions& aActions)
{
  const bool fromControl = aState.sources.contains(aFrom);
  if (aState.role == Role::Control ||
      (aState.role == Role::Relay && !fromControl)) {
    return;
  }
  aState.unansweredRegistrations = 0;
  if (aState.role == Role::Relay) {
    aState.role = Role::Entry;
    aState.referredAt = aNow;
    aState.subscribers.clear();
  }
  MergeControlHosts(aState, aMessage.controls, aActions);
  aState.relays.erase(aFrom);
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
  for (const auto& [host, source] : aState.sources) {
    SendSubscription(aState, host, source, aActions);
  }
}

} // namespace balsampoint::roster
