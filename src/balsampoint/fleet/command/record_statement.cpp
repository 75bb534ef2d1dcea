#include "balsampoint/fleet/command/record_statement.hpp"

#include "balsampoint/fleet/internal/find_server.hpp"

#include <chrono>

namespace balsampoint::fleet {

namespace {

/** Time for which other hosts are told that a limit has ended: several times
 * that of a message to all of them. */
constexpr Duration kTellEndTime = std::chrono::seconds{ 5 };

/** @brief The statement of an incarnation; that of another one is replaced. */
Statement&
StatementOf(State& aState, const Hop& aHop)
{
  auto& statement = aState.statements[aHop.server];
  if (statement.incarnation != aHop.incarnation) {
    statement = { .incarnation = aHop.incarnation };
  }
  return statement;
}

} // namespace

bool
RecordLeaving(State& aState, const ServiceId& aService, const Hop& aHop)
{
  auto* server = internal::FindServer(aState, aService, aHop);
  if (server == nullptr || server->leaving) {
    return false;
  }
  StatementOf(aState, aHop).leaving = true;
  server->leaving = true;
  server->ready = false;
  return true;
}

bool
RecordBackOff(State& aState,
              const ServiceId& aService,
              const Hop& aHop,
              Instant aUntil)
{
  auto* server = internal::FindServer(aState, aService, aHop);
  if (server == nullptr || aUntil <= server->backOffUntil) {
    return false;
  }
  StatementOf(aState, aHop).backOffUntil = aUntil;
  server->backOffUntil = aUntil;
  server->returning = true;
  return true;
}

bool
RecordRateLimit(State& aState,
                const ServiceId& aService,
                const Hop& aHop,
                std::optional<double> aLimit,
                Instant aNow)
{
  auto* server = internal::FindServer(aState, aService, aHop);
  if (server == nullptr || aNow < server->rateStatedAt) {
    return false;
  }
  server->rateStatedAt = aNow;
  if (server->rateLimit == aLimit) {
    return false;
  }
  if (!aLimit) {
    server->tellEndUntil = aNow + kTellEndTime;
  }
  auto& statement = StatementOf(aState, aHop);
  statement.rateLimit = aLimit;
  statement.rateStatedAt = aNow;
  server->rateLimit = aLimit;
  return true;
}

void
RecordRemoteRateLimit(Server& aServer,
                      std::optional<double> aLimit,
                      Instant aStatedAt,
                      Instant aNow)
{
  if (aStatedAt > aServer.rateStatedAt) {
    aServer.rateStatedAt = aStatedAt;
    aServer.rateLimit = aLimit;
  } else if (aLimit && !aServer.rateLimit) {
    aServer.tellEndUntil = aNow + kTellEndTime;
  }
}

} // namespace balsampoint::fleet
