#include "balsampoint/retry/may_retry.hpp"
#include "balsampoint/retry/module.hpp"

#include <criterion/criterion.h>
#include <set>

using namespace balsampoint;
using namespace balsampoint::retry;

namespace {

using namespace std::chrono_literals;

constexpr Instant kStart{ 1h };
const WorkspaceId kDesk{ "desk" };
const ServiceId kOrders{ "orders" };

struct Pool
{
  State state;
  registry::View view;
  std::vector<Action> actions;
  Instant now{ kStart };

  explicit Pool(int aServers)
  {
    state.settings.zone = ZoneId{ "near" };
    for (int at = 0; at < aServers; ++at) {
      Add("s" + std::to_string(at), "near");
    }
    Publish();
  }

  void Add(const std::string& aId, const std::string& aZone)
  {
    registry::Server server;
    server.announcement.server = ServerId{ aId };
    server.announcement.incarnation = Incarnation{ 1 };
    server.announcement.kind = registry::ServerKind::PlainService;
    server.announcement.service = kOrders;
    server.announcement.zone = ZoneId{ aZone };
    view.servers.push_back(server);
  }

  void Publish()
  {
    Handle(ServersChanged{ std::make_shared<const registry::View>(view) });
  }

  void Handle(const Event& aEvent)
  {
    actions.clear();
    Module::Handle(state, aEvent, now, actions);
  }

  /** Requests an attempt and advances the time past its backoff. */
  const AttemptGranted* Want(std::uint32_t aAttempts = 0,
                             std::vector<ServerId> aFailed = {},
                             Duration aTimeout = 1min)
  {
    Handle(AttemptRequested{ .ticket = Ticket{ 1 },
                             .workspace = kDesk,
                             .service = kOrders,
                             .attempts = aAttempts,
                             .deadline = now + aTimeout,
                             .failed = std::move(aFailed) });
    if (actions.empty()) {
      now = Module::NextDeadline(state);
      Module::Tick(state, now, actions);
    }
    return std::get_if<AttemptGranted>(&actions.back());
  }

  void End(const ServerId& aServer, AttemptResult aResult)
  {
    Handle(AttemptEnded{ .server = aServer,
                         .incarnation = Incarnation{ 1 },
                         .workspace = kDesk,
                         .result = aResult });
  }

  std::set<ServerId> ChosenIn(int aTries)
  {
    std::set<ServerId> chosen;
    for (int at = 0; at < aTries; ++at) {
      if (const auto* granted = Want()) {
        const auto server = granted->server;
        chosen.insert(server);
        End(server, AttemptResult::Answered);
      }
    }
    return chosen;
  }
};

} // namespace

Test(may_retry, non_idempotent_call_is_retried_only_if_nothing_was_sent)
{
  cr_assert(MayRetry(AttemptResult::NotSent, 1, false));
  cr_assert_not(MayRetry(AttemptResult::Broken, 1, false));
  cr_assert_not(MayRetry(AttemptResult::ServerError, 1, false));
  cr_assert(MayRetry(AttemptResult::Broken, 1, true));
  cr_assert_not(MayRetry(AttemptResult::Broken, kMaxAttempts, true));
  cr_assert_not(MayRetry(AttemptResult::Answered, 1, true));
}

Test(module, retry_goes_to_another_server_after_a_backoff)
{
  Pool pool{ 2 };
  const auto first = pool.Want()->server;
  const auto* second = pool.Want(1, { first });
  cr_assert(second->server != first);
  cr_assert(pool.now > kStart);
}

Test(module, leaving_server_gets_no_new_attempt)
{
  Pool pool{ 2 };
  pool.view.servers[0].announcement.state = registry::ServerState::Leaving;
  pool.Publish();
  cr_assert(pool.ChosenIn(50) == std::set{ ServerId{ "s1" } });
}

Test(module, own_zone_is_used_while_it_has_a_server)
{
  Pool pool{ 1 };
  pool.Add("far", "other");
  pool.Publish();
  cr_assert(pool.ChosenIn(50) == std::set{ ServerId{ "s0" } });
  cr_assert(pool.Want(1, { ServerId{ "s0" } })->server == ServerId{ "far" });
}

Test(module, budget_limits_retries_while_nothing_succeeds)
{
  Pool pool{ 5 };
  int retries = 0;
  for (int call = 0; call < 1000; ++call) {
    retries += pool.Want(1) != nullptr ? 1 : 0;
  }
  cr_assert_eq(retries, 10);
  for (int call = 0; call < 11; ++call) {
    pool.End(ServerId{ "s0" }, AttemptResult::Answered);
  }
  cr_assert_not_null(pool.Want(1));
  cr_assert_null(pool.Want(1));
}

Test(module, retry_that_would_exceed_the_deadline_is_refused)
{
  Pool pool{ 2 };
  cr_assert_null(pool.Want(1, {}, 0s));
  const auto& error = std::get<AttemptRefused>(pool.actions.back()).error;
  cr_assert_eq(error.executed, Executed::No);
}

Test(module, failing_server_is_ejected_and_returns_with_a_slow_start)
{
  Pool pool{ 4 };
  const ServerId bad{ "s0" };
  for (int at = 0; at < 5; ++at) {
    pool.End(bad, AttemptResult::Broken);
  }
  cr_assert_not(pool.ChosenIn(100).contains(bad));
  pool.now += 6s;
  cr_assert_not(pool.ChosenIn(1).empty());
  cr_assert(pool.state.health[bad].ejectedUntil <= pool.now);
  cr_assert(pool.state.health[bad].inUseSince > kStart, "slow start");
  pool.now += 10s;
  cr_assert(pool.ChosenIn(200).contains(bad));
}

Test(module, simultaneous_failures_do_not_eject_all_servers)
{
  Pool pool{ 9 };
  for (int round = 0; round < 10; ++round) {
    for (int at = 0; at < 9; ++at) {
      pool.End(ServerId{ "s" + std::to_string(at) }, AttemptResult::Broken);
    }
  }
  int ejected = 0;
  for (const auto& [id, health] : pool.state.health) {
    ejected += health.ejectedUntil > pool.now ? 1 : 0;
  }
  cr_assert_eq(ejected, 3);
  cr_assert_not_null(pool.Want());
}

Test(module, less_loaded_server_is_preferred)
{
  Pool pool{ 2 };
  pool.state.health[ServerId{ "s0" }].inFlight = 50;
  int idle = 0;
  for (int at = 0; at < 40; ++at) {
    idle += pool.Want()->server == ServerId{ "s1" } ? 1 : 0;
  }
  cr_assert(idle > 20);
}

Test(module, server_that_joins_later_gets_a_slow_start)
{
  Pool pool{ 1 };
  pool.Add("new", "near");
  pool.Publish();
  cr_assert(pool.state.health[ServerId{ "new" }].inUseSince == pool.now);
  cr_assert(pool.state.health[ServerId{ "s0" }].inUseSince == Instant::min());
}
