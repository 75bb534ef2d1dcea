#include "balsampoint/edge/link_watch.hpp"

#include "balsampoint/edge/detour_token.hpp"
#include "balsampoint/edge/traffic_state.hpp"
#include "balsampoint/fleet/command/forget_failures.hpp"
#include "balsampoint/reach/command/record_check.hpp"
#include "balsampoint/reach/command/record_traffic.hpp"
#include "balsampoint/reach/command/use_detours.hpp"
#include "balsampoint/reach/query/check_due.hpp"
#include "balsampoint/reach/query/choose_detour.hpp"
#include "balsampoint/reach/query/choose_references.hpp"
#include "balsampoint/trace/event.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace balsampoint::edge {

namespace {

/** Time between two looks whether a check is due. */
constexpr Duration kPollInterval = std::chrono::milliseconds{ 100 };

ZoneId
ZoneOf(const TrafficState& aTraffic, std::string_view aServer)
{
  if (!aTraffic.servers) {
    return {};
  }
  const auto& servers = aTraffic.servers->servers;
  const auto found =
    std::ranges::find_if(servers, [&](const roster::Server& aOne) {
      return aOne.claim.description.address == aServer;
    });
  return found == servers.end() ? ZoneId{} : found->claim.description.zone;
}

} // namespace

LinkWatch::LinkWatch(TrafficState& aTraffic)
  : mTraffic{ aTraffic }
  , mTimer{ aTraffic.loop.Context() }
{
}

void
LinkWatch::Start()
{
  mTimer.Set(kPollInterval, [this] { Poll(); });
}

void
LinkWatch::Poll()
{
  const auto now = TrafficState::Now();
  reach::RecordTraffic(
    mTraffic.reach, mTraffic.connections.Evidence(false), now);
  if (reach::NeedsAcknowledgements(mTraffic.reach, now)) {
    reach::RecordTraffic(
      mTraffic.reach, mTraffic.connections.Evidence(true), now);
  }
  if (mTraffic.servers && reach::IsCheckDue(mTraffic.reach, now)) {
    Check([](bool) {});
  }
  Start();
}

void
LinkWatch::OnConnected()
{
  reach::RecordConnected(mTraffic.reach, TrafficState::Now());
}

void
LinkWatch::OnConnectionFailed()
{
  if (reach::MayCheck(mTraffic.reach, TrafficState::Now())) {
    Check([](bool) {});
  }
}

void
LinkWatch::Check(Callback aCallback)
{
  mCallbacks.push_back(std::move(aCallback));
  if (std::exchange(mChecking, true)) {
    return;
  }
  auto& state = mTraffic.reach;
  const auto& settings = state.settings;
  const auto now = TrafficState::Now();
  mProof = reach::NeededProof(state, now);
  reach::BeginCheck(state, now);
  mResult = reach::CheckResult::Refused;
  mReferences.clear();
  if (mTraffic.servers) {
    mReferences = reach::ChooseReferences(mTraffic.servers->servers,
                                          state.link == reach::Link::Up
                                            ? settings.checkedServers
                                            : settings.checkedWhileDown,
                                          mTraffic.random);
  }
  if (mReferences.empty()) {
    // Without servers nothing can be shown.
    mResult = reach::CheckResult::Reached;
    mTraffic.loop.Post([this] { EndCheck(); });
    return;
  }
  do {
    ProbeNext();
  } while (reach::ChecksAllAtOnce(state) && !mReferences.empty());
}

void
LinkWatch::ProbeNext()
{
  ++mPending;
  auto address = std::move(mReferences.back());
  mReferences.pop_back();
  mTraffic.probes.Probe(
    address, {}, [this](ProbeResult aResult) { OnProbed(aResult); }, mProof);
}

void
LinkWatch::OnProbed(ProbeResult aResult)
{
  --mPending;
  if (aResult == ProbeResult::Accepts) {
    mResult = reach::CheckResult::Reached;
  } else if (aResult == ProbeResult::Silent &&
             mResult == reach::CheckResult::Refused) {
    mResult = reach::CheckResult::Silent;
  }
  if (mResult != reach::CheckResult::Reached && !mReferences.empty()) {
    while (!mReferences.empty()) {
      ProbeNext();
    }
    return;
  }
  if (mPending == 0) {
    EndCheck();
  }
}

void
LinkWatch::EndCheck()
{
  mChecking = false;
  if (mTraffic.servers && !mTraffic.servers->servers.empty() &&
      reach::RecordCheck(mTraffic.reach, mResult, TrafficState::Now())) {
    OnLinkChanged();
  }
  const bool reached = mResult == reach::CheckResult::Reached;
  for (const auto& callback : std::exchange(mCallbacks, {})) {
    callback(reached);
  }
}

void
LinkWatch::OnLinkChanged()
{
  const bool isDown = mTraffic.reach.link == reach::Link::Down;
  trace::Event{ isDown ? "servers_unreachable" : "servers_reachable" }.With(
    "detours", mTraffic.reach.detours.size());
  mTraffic.metrics.Set(trace::Level::ServersReachable, isDown ? 0.0 : 1.0);
  fleet::ForgetFailures(mTraffic.fleet);
  mTraffic.NotifyLink();
}

void
LinkWatch::SetDetours(std::span<const reach::Detour> aDetours)
{
  const auto now = TrafficState::Now();
  const bool used = reach::UsesDetours(mTraffic.reach, now);
  reach::SetDetours(mTraffic.reach, aDetours, now);
  if (reach::UsesDetours(mTraffic.reach, now) == used) {
    return;
  }
  // What failed before was this host's fault; its requests go on from here.
  fleet::ForgetFailures(mTraffic.fleet);
  mTraffic.NotifyLink();
}

std::optional<DetourPath>
LinkWatch::TakePath(std::string_view aServer)
{
  if (mTraffic.reach.link == reach::Link::Up) {
    return std::nullopt;
  }
  auto detour = reach::ChooseDetour(mTraffic.reach,
                                    ZoneOf(mTraffic, aServer),
                                    mTraffic.random.Next(),
                                    TrafficState::Now());
  if (!detour) {
    return std::nullopt;
  }
  reach::CountConnection(mTraffic.reach, detour->address, true);
  // Connections may outlive the traffic thread's state.
  const std::weak_ptr<LinkWatch*> watch{ mSelf };
  const std::shared_ptr<void> lease{
    nullptr,
    [watch, address = detour->address](std::nullptr_t) {
      if (const auto self = watch.lock()) {
        reach::CountConnection((*self)->mTraffic.reach, address, false);
      }
    }
  };
  return DetourPath{ .address = detour->address,
                     .token = DetourToken(mSecret, aServer),
                     .onFailure =
                       [watch, address = detour->address] {
                         if (const auto self = watch.lock()) {
                           reach::RecordDetourFailure((*self)->mTraffic.reach,
                                                      address,
                                                      TrafficState::Now());
                         }
                       },
                     .lease = lease };
}

} // namespace balsampoint::edge
