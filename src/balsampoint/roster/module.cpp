#include "balsampoint/roster/module.hpp"

#include "balsampoint/roster/command/confirm_departures.hpp"
#include "balsampoint/roster/command/exchange_claims.hpp"
#include "balsampoint/roster/command/join_tree.hpp"
#include "balsampoint/roster/command/report_control_hosts.hpp"
#include "balsampoint/roster/command/track_heartbeats.hpp"
#include "balsampoint/roster/internal/tree.hpp"
#include "balsampoint/roster/query/make_view.hpp"

#include <algorithm>

namespace balsampoint::roster {

namespace {

/**
 * @brief Time between two ticks; bounds the delay with which a missed
 * heartbeat is detected.
 */
constexpr Duration kTickInterval = std::chrono::milliseconds{ 350 };

/** @brief Visitor that calls the command for each type of event and message. */
struct Dispatch
{
  State& state;
  Instant now;
  Actions& actions;
  HostId from;

  void operator()(const Heartbeat& aEvent) const
  {
    HandleHeartbeat(state, aEvent, now, actions);
  }
  void operator()(const SignedOff& aEvent) const
  {
    HandleSignedOff(state, aEvent, now, actions);
  }
  void operator()(const ConfigurationUpdated& aEvent) const
  {
    state.configuration = std::max(state.configuration, aEvent.number);
  }
  void operator()(const Received& aEvent)
  {
    from = aEvent.from;
    std::visit(*this, aEvent.message);
  }
  void operator()(const Subscribe& aMessage) const
  {
    HandleSubscribe(state, from, aMessage, now, actions);
  }
  void operator()(const Update& aMessage) const
  {
    HandleUpdate(state, from, aMessage, now, actions);
  }
  void operator()(const Referral& aMessage) const
  {
    HandleReferral(state, from, aMessage, now, actions);
  }
};

void
PublishIfChanged(State& aState, Instant aNow, Actions& aActions)
{
  auto owners = internal::ReachableControls(aState, aNow);
  auto topology = DescribeTopology(aState, aNow);
  if (aState.view && aState.viewRevision == aState.revision &&
      aState.viewOwners == owners && aState.view->topology == topology) {
    return;
  }
  auto view = MakeView(aState, owners, std::move(topology));
  aState.viewRevision = aState.revision;
  aState.viewOwners = std::move(owners);
  if (aState.view && *aState.view == view) {
    return;
  }
  aState.view = std::make_shared<const View>(std::move(view));
  aActions.emplace_back(Publish{ aState.view });
}

/**
 * @brief After a stall of this process, extends the heartbeat deadlines by
 * its length: heartbeats sent during the stall have not been processed yet.
 */
void
CompensateForStall(State& aState, Instant aNow)
{
  const auto last = std::exchange(aState.lastTick, aNow);
  if (last == kNever || aNow - last <= 2 * kTickInterval) {
    return;
  }
  const auto lost = aNow - last;
  for (auto& [id, local] : aState.localServers) {
    local.lastHeartbeatAt = std::min(aNow, local.lastHeartbeatAt + lost);
  }
}

} // namespace

State
Module::Start(Settings aSettings, Instant aNow)
{
  State state{ .settings = std::move(aSettings) };
  state.role = state.settings.isControlHost ? Role::Control : Role::Entry;
  for (const auto& seed : state.settings.seeds) {
    if (seed.host != state.settings.self) {
      state.sources[seed.host] = { .address = seed.address, .isSeed = true };
    }
  }
  state.nextTick = aNow;
  return state;
}

void
Module::Handle(State& aState,
               const Event& aEvent,
               Instant aNow,
               Actions& aActions)
{
  std::visit(Dispatch{ aState, aNow, aActions, {} }, aEvent);
  PushChanges(aState, aNow, aActions);
  PublishIfChanged(aState, aNow, aActions);
}

void
Module::Tick(State& aState, Instant aNow, Actions& aActions)
{
  PushChanges(aState, aNow, aActions);
  SettleDepartures(aState, aNow, aActions);
  if (aNow < aState.nextTick) {
    return;
  }
  CompensateForStall(aState, aNow);
  ExpireHeartbeats(aState, aNow);
  PushChanges(aState, aNow, aActions);
  if (aNow >= aState.nextRenewal) {
    aState.nextRenewal = aNow + aState.settings.renewalInterval;
    RenewSubscriptions(aState, aNow, aActions);
  }
  ReportIsolation(aState, aNow, aActions);
  AskControlHosts(aState, aNow, aActions);
  ReportControlHosts(aState, aNow, aActions);
  PublishIfChanged(aState, aNow, aActions);
  aState.nextTick = aNow + kTickInterval;
}

Instant
Module::NextDeadline(const State& aState)
{
  const bool alone = aState.sources.empty() && !aState.settings.isControlHost;
  return alone ? kNever
               : std::min({ aState.nextTick,
                            aState.nextPush,
                            NextDepartureDeadline(aState) });
}

} // namespace balsampoint::roster
