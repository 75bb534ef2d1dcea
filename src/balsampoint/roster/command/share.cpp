#include "balsampoint/roster/command/share.hpp"

#include "balsampoint/roster/command/hear.hpp"
#include "balsampoint/roster/internal/merge.hpp"

#include <algorithm>

namespace balsampoint::roster {

namespace {

bool
IsHeardFrom(const Source& aSource, const Settings& aSettings, Instant aNow)
{
  return aSource.heardAt && aNow - *aSource.heardAt <= aSettings.hostSilence;
}

std::vector<ControlHost>
LiveControls(const State& aState, Instant aNow)
{
  std::vector<ControlHost> controls{ { aState.settings.self,
                                       aState.settings.address } };
  for (const auto& [host, source] : aState.sources) {
    if (IsHeardFrom(source, aState.settings, aNow)) {
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
  for (const auto& [id, heard] : aState.heard) {
    if (heard.version > aBase) {
      update.claims.push_back(heard.claim);
    }
  }
  return update;
}

void
SubscribeAt(const State& aState,
            const HostId& aHost,
            const Source& aSource,
            Actions& aActions)
{
  aActions.emplace_back(Send{ aHost,
                              Subscribe{ .address = aState.settings.address,
                                         .hears = aState.settings.hears,
                                         .source = aSource.incarnation,
                                         .have = aSource.have } });
}

void
LearnControls(State& aState,
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
    aActions.emplace_back(Reach{ control.host, control.address });
    SubscribeAt(aState, control.host, source, aActions);
  }
}

} // namespace

void
PushChanges(State& aState, Instant aNow, Actions& aActions)
{
  for (auto& [host, subscriber] : aState.subscribers) {
    const bool told = subscriber.sent >= aState.version &&
                      subscriber.told >= aState.configuration;
    if (told || aNow - subscriber.heardAt > aState.settings.hostSilence) {
      continue;
    }
    aActions.emplace_back(
      Send{ host, MakeUpdate(aState, subscriber.sent, aNow) });
    subscriber.sent = aState.version;
    subscriber.told = aState.configuration;
  }
}

void
HandleSubscribe(State& aState,
                const HostId& aFrom,
                const Subscribe& aMessage,
                Instant aNow,
                Actions& aActions)
{
  if (!aState.settings.hears) {
    return;
  }
  const bool sameSource = aMessage.source == aState.settings.incarnation;
  const auto base = sameSource ? aMessage.have : 0;
  auto& subscriber = aState.subscribers[aFrom];
  if (subscriber.address != aMessage.address) {
    aActions.emplace_back(Reach{ aFrom, aMessage.address });
  }
  subscriber = {
    aNow, aMessage.hears, aMessage.address, aState.version, aState.configuration
  };
  if (aMessage.hears && aFrom != aState.settings.self) {
    LearnControls(aState, { { aFrom, aMessage.address } }, aActions);
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
  source.heardAt = aNow;
  if (source.incarnation != aMessage.source) {
    source.incarnation = aMessage.source;
    source.have = 0;
  }
  if (aMessage.base > source.have) {
    SubscribeAt(aState, aFrom, source, aActions);
    return;
  }
  for (const auto& claim : aMessage.claims) {
    internal::Merge(aState, claim, aFrom, aNow);
    ClaimAgain(aState, claim, aNow);
  }
  aActions.emplace_back(ConfigurationHeard{ aFrom, aMessage.configuration });
  source.have = std::max(source.have, aMessage.version);
  LearnControls(aState, aMessage.controls, aActions);
}

void
RenewSubscriptions(State& aState, Instant aNow, Actions& aActions)
{
  const auto limit = aState.settings.forgetHost;
  std::erase_if(aState.sources, [&](const auto& aEntry) {
    const auto& source = aEntry.second;
    return !source.isSeed && source.heardAt && aNow - *source.heardAt > limit;
  });
  std::erase_if(aState.subscribers, [&](const auto& aEntry) {
    return aNow - aEntry.second.heardAt > limit;
  });
  for (const auto& [host, source] : aState.sources) {
    SubscribeAt(aState, host, source, aActions);
  }
}

} // namespace balsampoint::roster
