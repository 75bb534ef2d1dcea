#include "balsampoint/edge/room_wait.hpp"

#include "balsampoint/fleet/query/kv_tokens.hpp"
#include "balsampoint/fleet/query/predict_first_event.hpp"
#include "balsampoint/fleet/query/retry_after.hpp"
#include "balsampoint/forward/decision.hpp"
#include "balsampoint/limit/command/follow_demand.hpp"
#include "balsampoint/limit/query/levels.hpp"
#include "balsampoint/limit/query/waiting.hpp"
#include "balsampoint/trace/event.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <fmt/format.h>
#include <string>
#include <utility>
#include <vector>

namespace balsampoint::edge {

namespace {

/** Why a request that found no room doesn't wait, or no longer does. */
struct Refusal
{
  std::string_view name;
  trace::RoomRefusal counted{};
};

Refusal
RefusalFor(limit::WaitVerdict aVerdict)
{
  return aVerdict == limit::WaitVerdict::QueueFull
           ? Refusal{ "queue_full", trace::RoomRefusal::QueueFull }
           : Refusal{ "too_late", trace::RoomRefusal::TooLate };
}

std::string
LevelText(const limit::ServiceShortage& aService)
{
  std::string text;
  for (const auto& [urgency, level] : aService.levels) {
    text += fmt::format("{}{}={:.3f}-{:.3f}",
                        text.empty() ? "" : ",",
                        urgency,
                        level.fraction - level.ramp,
                        level.fraction);
  }
  return text;
}

/** Logs the levels of a service if one of them has changed much. */
void
LogLevels(TrafficState& aTraffic,
          const ServiceId& aId,
          const limit::ServiceShortage& aService)
{
  constexpr double kMuch = 0.05;
  auto& logged = aTraffic.loggedLevels[aId];
  const bool changed =
    std::ranges::any_of(aService.levels, [&](const auto& aEntry) {
      const auto [last, added] =
        logged.try_emplace(aEntry.first, aTraffic.shortage.settings.maxLevel);
      return std::abs(aEntry.second.fraction - last->second) >= kMuch;
    });
  if (!changed) {
    return;
  }
  for (const auto& [urgency, level] : aService.levels) {
    logged[urgency] = level.fraction;
  }
  trace::Event{ "admission_levels" }
    .With("service", aId)
    .With("levels", LevelText(aService));
}

/** Sets the metric of each rank to the lowest level among the services. */
void
MeasureLevels(TrafficState& aTraffic)
{
  std::array<double, trace::Metrics::kLevelRanks> lowest{};
  lowest.fill(aTraffic.shortage.settings.maxLevel);
  for (const auto& [id, service] : aTraffic.shortage.services) {
    std::size_t rank = 0;
    for (const auto& [urgency, level] : service.levels) {
      auto& value = lowest.at(std::min(rank, lowest.size() - 1));
      value = std::min(value, level.fraction);
      ++rank;
    }
  }
  for (std::size_t rank = 0; rank < lowest.size(); ++rank) {
    aTraffic.metrics.SetAdmissionLevel(rank, lowest.at(rank));
  }
}

} // namespace

RoomRequest
MakeRoomRequest(const TrafficState& aTraffic,
                const Admission& aAdmission,
                const RequestParameters& aParameters,
                Instant aNow)
{
  const auto& route = *aAdmission.route;
  const auto demand = MakeDemand(*aAdmission.service, aParameters);
  const auto timeout = aParameters.timeout.value_or(route.timeout);
  RoomRequest made{
    .request = { .urgency = UrgencyOf(aAdmission),
                 .retry = timeout < route.timeout,
                 .arrivedAt = aNow,
                 .tokens = fleet::TokensOf(aTraffic.fleet.settings, demand) },
    .mayWait =
      forward::IsStream(route.kind) && route.targetLatency > Duration{},
    .target =
      std::min(route.targetLatency,
               std::min(timeout, route.timeout) - forward::kMinAttemptTime),
    .promptTokens = demand.promptTokens
  };
  if (aAdmission.workspace != nullptr) {
    made.request.workspace = aAdmission.workspace->id;
  }
  return made;
}

Instant
LatestStart(const TrafficState& aTraffic,
            const ServiceId& aService,
            const RoomRequest& aRequest)
{
  return aRequest.request.arrivedAt + aRequest.target -
         fleet::PredictFirstEvent(
           aTraffic.fleet, aService, aRequest.promptTokens);
}

void
RoomWait::Begin(TrafficState& aTraffic,
                const Admission& aAdmission,
                const RequestParameters& aParameters,
                Instant aNow)
{
  const auto& service = *aAdmission.service;
  if (!aTraffic.shortage.services.contains(service.id)) {
    return;
  }
  mTraffic = &aTraffic;
  mService = service.id;
  mRoom = MakeRoomRequest(aTraffic, aAdmission, aParameters, aNow);
  mRoom.request.ticket = aTraffic.rooms.NewTicket();
  mId = aParameters.id;
  limit::CountDemand(aTraffic.shortage,
                     mService,
                     mRoom.request.urgency,
                     mRoom.request.tokens,
                     aNow);
}

tl::expected<fleet::Chain, Error>
RoomWait::Choose(TrafficState& aTraffic,
                 const routing::Service& aService,
                 const RequestParameters& aParameters,
                 ServerRestrictions aRestrictions,
                 bool aAnswerStarted)
{
  if (mTraffic == nullptr || aAnswerStarted) {
    return ChooseServers(aTraffic, aService, aParameters, aRestrictions);
  }
  const auto now = TrafficState::Now();
  const auto& shortage = aTraffic.shortage;
  mRoom.request.fraction =
    limit::DrawLevel(
      shortage.settings,
      limit::LevelOf(shortage, mService, mRoom.request.urgency, now),
      mId)
      .fraction;
  if (mRoom.mayWait && !IsWaiting() &&
      limit::IsBlocked(shortage, mService, mRoom.request)) {
    aTraffic.rooms.Notify();
    return Refuse(ErrorKind::NoServer, "other requests wait for room");
  }
  aRestrictions.kvFraction = mRoom.request.fraction;
  auto chosen = ChooseServers(aTraffic, aService, aParameters, aRestrictions);
  if (chosen) {
    limit::CountStart(
      aTraffic.shortage, mService, mRoom.request.workspace, now);
    mStarted = true;
    EndWait("found");
  }
  return chosen;
}

bool
RoomWait::Wait(RoomQueue::Callbacks aCallbacks)
{
  if (mTraffic == nullptr) {
    return false;
  }
  if (IsWaiting()) {
    return true;
  }
  if (!mRoom.mayWait) {
    OnRefused("no_target", trace::RoomRefusal::NoTarget);
    return false;
  }
  mRoom.request.latest = LatestStart(*mTraffic, mService, mRoom);
  // The queue calls nothing after this object has left it.
  aCallbacks.giveUp = [this, giveUp = std::move(aCallbacks.giveUp)] {
    EndWait("expired");
    OnRefused("expired", trace::RoomRefusal::Expired);
    giveUp();
  };
  const auto verdict =
    mTraffic->rooms.Wait(mService, mRoom.request, std::move(aCallbacks));
  if (verdict != limit::WaitVerdict::Waits) {
    const auto refusal = RefusalFor(verdict);
    OnRefused(refusal.name, refusal.counted);
    return false;
  }
  mWaitsSince = TrafficState::Now();
  return true;
}

void
RoomWait::OnRefused(std::string_view aName, trace::RoomRefusal aCounted)
{
  mVerdict = aName;
  mTraffic->metrics.Add(aCounted);
}

void
RoomWait::EndWait(std::string_view aVerdict)
{
  if (const auto since = std::exchange(mWaitsSince, {}); since != Instant{}) {
    const auto waited = TrafficState::Now() - since;
    mWaited = mWaited.value_or(Duration{}) + waited;
    mVerdict = aVerdict;
    mTraffic->metrics.Record(trace::Timing::QueueWait, waited);
    mTraffic->rooms.Leave(mRoom.request.ticket);
  }
}

void
RoomWait::End()
{
  if (mTraffic == nullptr) {
    return;
  }
  EndWait("ended");
  if (std::exchange(mStarted, false)) {
    limit::CountEnd(mTraffic->shortage, mService, TrafficState::Now());
    mTraffic->rooms.Notify();
  }
  mTraffic = nullptr;
}

std::optional<RoomWaitLog>
RoomWait::LogFields() const
{
  if (mTraffic == nullptr) {
    return std::nullopt;
  }
  const bool waits = mWaitsSince != Instant{};
  auto waited = mWaited;
  if (waits) {
    waited = waited.value_or(Duration{}) + (TrafficState::Now() - mWaitsSince);
  }
  return RoomWaitLog{ .urgency = mRoom.request.urgency,
                      .level = mRoom.request.fraction,
                      .waited = waited,
                      .verdict =
                        waits ? std::string_view{ "ended" } : mVerdict };
}

Duration
RetryAfter(TrafficState& aTraffic, const ServiceId& aService)
{
  const auto now = TrafficState::Now();
  limit::CountRefusal(aTraffic.shortage, aService, now);
  const auto base = fleet::RetryAfter(aTraffic.fleet, aService, now);
  const auto spread = limit::RetrySpread(aTraffic.shortage, aService, now);
  return base +
         std::chrono::duration_cast<Duration>(
           spread * (spread > Duration{} ? aTraffic.random.NextUnit() : 0.0));
}

void
FollowDemand(TrafficState& aTraffic, const usage::RemoteUsage& aOthers)
{
  auto& services = aTraffic.shortage.services;
  if (services.empty()) {
    return;
  }
  for (const auto& [id, service] : services) {
    const auto sum =
      std::ranges::find(aOthers.services, id, &usage::ServiceUsage::service);
    limit::SetRemoteDemand(aTraffic.shortage,
                           id,
                           sum == aOthers.services.end()
                             ? std::vector<usage::UrgencyDemand>{}
                             : sum->byUrgency,
                           fleet::KvTokens(aTraffic.fleet, id),
                           TrafficState::Now());
    LogLevels(aTraffic, id, service);
  }
  MeasureLevels(aTraffic);
  aTraffic.rooms.Notify();
}

void
FollowUrgencies(TrafficState& aTraffic)
{
  const auto dropped =
    limit::FollowConfiguration(aTraffic.shortage, aTraffic.routes->Source());
  aTraffic.rooms.GiveUp(dropped);
  std::erase_if(aTraffic.loggedLevels, [&](const auto& aEntry) {
    return !aTraffic.shortage.services.contains(aEntry.first);
  });
}

} // namespace balsampoint::edge
