#include "balsampoint/fleet/command/record_statement.hpp"

#include "balsampoint/fleet/internal/find_server.hpp"

namespace balsampoint::fleet {

namespace {

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
                std::optional<double> aLimit)
{
  auto* server = internal::FindServer(aState, aService, aHop);
  if (server == nullptr || server->rateLimit == aLimit) {
    return false;
  }
  StatementOf(aState, aHop).rateLimit = aLimit;
  server->rateLimit = aLimit;
  return true;
}

} // namespace balsampoint::fleet
