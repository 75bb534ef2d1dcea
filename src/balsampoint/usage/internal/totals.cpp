#include "balsampoint/usage/internal/totals.hpp"

#include <algorithm>
#include <utility>

namespace balsampoint::usage::internal {

namespace {

/** @brief Replaces a statement by another one that is newer. */
void
TakeNewer(std::optional<RateStatement>& aKnown,
          const std::optional<RateStatement>& aOther,
          Duration aHeldFor)
{
  if (!aOther) {
    return;
  }
  auto other = *aOther;
  other.age += aHeldFor;
  const bool newer =
    !aKnown || aKnown->incarnation < other.incarnation ||
    (aKnown->incarnation == other.incarnation && other.age < aKnown->age);
  if (newer) {
    aKnown = other;
  }
}

/** @brief Replaces a rejection by another one that is newer. */
void
TakeNewer(std::optional<Rejection>& aKnown,
          const std::optional<Rejection>& aOther,
          Duration aHeldFor)
{
  if (aOther && (!aKnown || aOther->age + aHeldFor < aKnown->age)) {
    aKnown = { aOther->age + aHeldFor, aOther->fill };
  }
}

} // namespace

void
Totals::Add(std::span<const ServerUsage> aServers, Duration aHeldFor)
{
  for (const auto& use : aServers) {
    auto& total = mServers[use.server];
    total.server = use.server;
    total.passing += use.passing;
    total.sent += use.sent;
    total.kv += use.kv;
    total.waitingPrompt += use.waitingPrompt;
    total.recent += use.recent;
    TakeNewer(total.rate, use.rate, aHeldFor);
    TakeNewer(total.rejection, use.rejection, aHeldFor);
  }
}

void
Totals::Add(std::span<const ServiceUsage> aServices)
{
  for (const auto& use : aServices) {
    auto& total = mDemand[use.service];
    total.demand += use.demand;
    for (const auto& one : use.byUrgency) {
      total.kvPerSecond[one.urgency] += one.kvPerSecond;
    }
  }
}

std::vector<ServerUsage>
Totals::Servers() const
{
  std::vector<ServerUsage> servers;
  servers.reserve(mServers.size());
  for (const auto& entry : mServers) {
    const ServerUsage& use = entry.second;
    if (use.passing > 0 || use.sent > 0 || use.recent > 0 ||
        use.rate.has_value() || use.rejection.has_value()) {
      servers.push_back(use);
    }
  }
  return servers;
}

std::vector<ServerUsage>
Totals::Without(std::span<const ServerUsage> aOwn) const
{
  auto others = *this;
  for (const auto& use : aOwn) {
    auto& total = others.mServers[use.server];
    total.passing -= std::min(total.passing, use.passing);
    total.sent -= std::min(total.sent, use.sent);
    total.kv = std::max(0.0, total.kv - use.kv);
    total.waitingPrompt =
      std::max(0.0, total.waitingPrompt - use.waitingPrompt);
    total.recent -= std::min(total.recent, use.recent);
  }
  return others.Servers();
}

std::vector<ServiceUsage>
Totals::Services() const
{
  std::vector<ServiceUsage> services;
  services.reserve(mDemand.size());
  for (const auto& [service, total] : mDemand) {
    ServiceUsage use{ .service = service, .demand = total.demand };
    for (const auto& [urgency, kvPerSecond] : total.kvPerSecond) {
      use.byUrgency.push_back({ urgency, kvPerSecond });
    }
    services.push_back(std::move(use));
  }
  return services;
}

std::vector<ServiceUsage>
Totals::Without(std::span<const ServiceUsage> aOwn) const
{
  auto others = *this;
  for (const auto& use : aOwn) {
    auto& total = others.mDemand[use.service];
    total.demand = std::max(0.0, total.demand - use.demand);
    for (const auto& one : use.byUrgency) {
      auto& kvPerSecond = total.kvPerSecond[one.urgency];
      kvPerSecond = std::max(0.0, kvPerSecond - one.kvPerSecond);
    }
  }
  return others.Services();
}

} // namespace balsampoint::usage::internal
