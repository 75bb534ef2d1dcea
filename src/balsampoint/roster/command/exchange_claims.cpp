#include "balsampoint/roster/command/exchange_claims.hpp"

#include "balsampoint/roster/command/track_heartbeats.hpp"
#include "balsampoint/roster/internal/merge.hpp"

#include <algorithm>

namespace balsampoint::roster {

namespace {

bool
IsReachable(const Source& aSource, const Settings& aSettings, Instant aNow)
{
  return aSource.lastReceivedAt &&
         aNow - *aSource.lastReceivedAt <= aSettings.hostTimeout;
}

std::vector<ControlHost>
LiveControls(const State& aState, Instant aNow)
{
  std::vector<ControlHost> controls{ { aState.settings.self,
                                       aState.settings.address } };
  for (const auto& [host, source] : aState.sources) {
    if (IsReachable(source, aState.settings, aNow)) {
      controls.push_back({ host, source.address });
    }
  }
  return controls;
}

Update
MakeUpdate(const State& aState, std::uint64_t aBase, Instant aNow)
{
  Update update{ .source = aState.settings.incarnation,
                 .base = aBase,
                 .version = aState.version,
                 .controls = LiveControls(aState, aNow),
                 .configuration = aState.configuration };
  for (const auto& [id, local] : aState.localServers) {
    if (local.version > aBase) {
      update.claims.push_back(local.claim);
    }
  }
  return update;
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
                     .isControlHost = aState.settings.isControlHost,
                     .source = aSource.incarnation,
                     .receivedVersion = aSource.receivedVersion } });
}

void
MergeControlHosts(State& aState,
                  const std::vector<ControlHost>& aControls,
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
    SendSubscription(aState, control.host, source, aActions);
  }
}

} // namespace

void
PushChanges(State& aState, Instant aNow, Actions& aActions)
{
  for (auto& [host, subscriber] : aState.subscribers) {
    const bool isUpToDate =
      subscriber.sentVersion >= aState.version &&
      subscriber.sentConfiguration >= aState.configuration;
    if (isUpToDate ||
        aNow - subscriber.lastReceivedAt > aState.settings.hostTimeout) {
      continue;
    }
    aActions.emplace_back(
      Send{ host, MakeUpdate(aState, subscriber.sentVersion, aNow) });
    subscriber.sentVersion = aState.version;
    subscriber.sentConfiguration = aState.configuration;
  }
}

void
HandleSubscribe(State& aState,
                const HostId& aFrom,
                const Subscribe& aMessage,
                Instant aNow,
                Actions& aActions)
{
  if (!aState.settings.isControlHost) {
    return;
  }
  const bool sameSource = aMessage.source == aState.settings.incarnation;
  const auto base = sameSource ? aMessage.receivedVersion : 0;
  auto& subscriber = aState.subscribers[aFrom];
  if (subscriber.address != aMessage.address) {
    aActions.emplace_back(SetHostAddress{ aFrom, aMessage.address });
  }
  subscriber = { aNow,
                 aMessage.isControlHost,
                 aMessage.address,
                 aState.version,
                 aState.configuration };
  if (aMessage.isControlHost && aFrom != aState.settings.self) {
    MergeControlHosts(aState, { { aFrom, aMessage.address } }, aActions);
  }
  aActions.emplace_back(Send{ aFrom, MakeUpdate(aState, base, aNow) });
}

void
HandleUpdate(State& aState,
             const HostId& aFrom,
             const Update& aMessage,
             Instant aNow,
             Actions& aActions)
{
  const auto found = aState.sources.find(aFrom);
  if (found == aState.sources.end()) {
    return;
  }
  auto& source = found->second;
  source.lastReceivedAt = aNow;
  if (source.incarnation != aMessage.source) {
    source.incarnation = aMessage.source;
    source.receivedVersion = 0;
  }
  if (aMessage.base > source.receivedVersion) {
    SendSubscription(aState, aFrom, source, aActions);
    return;
  }
  for (const auto& claim : aMessage.claims) {
    internal::Merge(aState, claim, aFrom, aNow);
    ReadvertiseClaim(aState, claim, aNow);
  }
  aActions.emplace_back(
    ConfigurationAdvertised{ aFrom, aMessage.configuration });
  source.receivedVersion = std::max(source.receivedVersion, aMessage.version);
  MergeControlHosts(aState, aMessage.controls, aActions);
}

void
RenewSubscriptions(State& aState, Instant aNow, Actions& aActions)
{
  const auto limit = aState.settings.hostRetention;
  std::erase_if(aState.sources, [&](const auto& aEntry) {
    const auto& source = aEntry.second;
    return !source.isSeed && source.lastReceivedAt &&
           aNow - *source.lastReceivedAt > limit;
  });
  std::erase_if(aState.subscribers, [&](const auto& aEntry) {
    return aNow - aEntry.second.lastReceivedAt > limit;
  });
  for (const auto& [host, source] : aState.sources) {
    SendSubscription(aState, host, source, aActions);
  }
}

} // namespace balsampoint::roster
