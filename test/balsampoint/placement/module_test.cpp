#include "balsampoint/placement/module.hpp"

#include <chrono>
#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::placement;
using namespace std::chrono_literals;

namespace {

constexpr Instant kStart{ 1h };
const ServiceId kService{ "verse" };

routing::EngineProfile
SmallProfile()
{
  routing::EngineProfile profile;
  profile.layers = 8;
  profile.layerMb = 10.0;
  profile.kvBytesPerToken = 80.0;
  profile.meanPromptTokens = 100.0;
  profile.loadTime = 8s;
  profile.kinds = { { "card", { .memoryMb = 60.0 } } };
  return profile;
}

roster::Server
MakeServer(std::string aName, std::optional<LayerRange> aLayers)
{
  return { .claim = { .server = ServerId{ aName },
                      .stamp = { Incarnation{ 1 }, 0 },
                      .description = { .service = kService,
                                       .address = aName + ":80",
                                       .zone = ZoneId{ "a" },
                                       .accelerator = "card",
                                       .layers = aLayers } } };
}

/** @brief Runs the module of one host and records its orders. */
struct Fixture
{
  void Deliver(const Event& aEvent)
  {
    Actions actions;
    Module::Handle(state, aEvent, now, actions);
    Record(actions);
  }

  void Run(Duration aTime)
  {
    const auto end = now + aTime;
    while (Module::NextDeadline(state) <= end) {
      now = std::max(now, Module::NextDeadline(state));
      Actions actions;
      Module::Tick(state, now, actions);
      Record(actions);
    }
    now = end;
  }

  void Record(const Actions& aActions)
  {
    for (const auto& action : aActions) {
      if (const auto* order = std::get_if<SendOrder>(&action)) {
        sent.push_back(*order);
      } else {
        ++reportRequests;
      }
    }
  }

  void SetServers(std::vector<roster::Server> aServers)
  {
    auto view = std::make_shared<roster::View>();
    view->servers = std::move(aServers);
    Deliver(ServersChanged{ view });
  }

  void Lead()
  {
    Deliver(Configured{ { { kService, SmallProfile() } } });
    Deliver(Leading{ .leading = true, .fencing = FencingNumber{ 4 } });
  }

  State state;
  Instant now = kStart;
  std::vector<SendOrder> sent;
  int reportRequests{};
};

} // namespace

Test(placement, plans_all_once_no_new_engine_has_come_for_a_while)
{
  Fixture host;
  host.Lead();
  host.SetServers({ MakeServer("s1", {}), MakeServer("s2", {}) });
  host.Run(1s);
  cr_assert(host.sent.empty());
  host.Run(1s);
  cr_assert_eq(host.sent.size(), 2U);
  cr_assert_eq(host.sent.front().fencing, FencingNumber{ 4 });
}

Test(placement, a_host_that_does_not_lead_sends_no_orders)
{
  Fixture host;
  host.Lead();
  host.SetServers({ MakeServer("s1", {}) });
  host.Deliver(Leading{});
  host.Run(10s);
  cr_assert(host.sent.empty());
}

Test(placement, a_pending_order_is_not_sent_twice)
{
  Fixture host;
  host.Lead();
  host.SetServers({ MakeServer("s1", {}) });
  host.Run(8s);
  cr_assert_eq(host.sent.size(), 1U);
}

Test(placement, an_order_without_an_answer_is_checked_and_repeated)
{
  Fixture host;
  host.Lead();
  host.SetServers({ MakeServer("s1", {}) });
  host.Run(2s);
  const auto first = host.sent.front();
  host.Deliver(
    OrderEnded{ first.server, first.incarnation, OrderOutcome::Unknown });
  cr_assert_eq(host.reportRequests, 1);
  // The engine did carry out the order, so the next one must expect the new
  // count of accepted orders.
  host.Deliver(Reported{ .server = first.server,
                         .incarnation = first.incarnation,
                         .orders = 1,
                         .busy = true });
  host.Run(20s);
  cr_assert_geq(host.sent.size(), 2U);
  cr_assert_eq(host.sent[1].expectedOrders, 1U);
  cr_assert_eq(host.sent[1].layers, first.layers);
}

Test(placement, a_restarted_engine_is_empty_and_gets_layers_again)
{
  Fixture host;
  host.Lead();
  host.SetServers({ MakeServer("s1", LayerRange{ 0, 5 }),
                    MakeServer("s2", LayerRange{ 3, 8 }) });
  host.Run(3s);
  cr_assert(host.sent.empty());
  auto restarted = MakeServer("s1", {});
  restarted.claim.stamp.incarnation = Incarnation{ 2 };
  host.SetServers({ restarted, MakeServer("s2", LayerRange{ 3, 8 }) });
  host.Run(1s);
  cr_assert_eq(host.sent.size(), 1U);
  cr_assert_eq(host.sent.front().layers.begin, 0U);
  cr_assert_eq(host.sent.front().expectedOrders, 0U);
}

Test(placement, a_new_leader_waits_before_its_first_order)
{
  Fixture host;
  host.Deliver(Configured{ { { kService, SmallProfile() } } });
  host.SetServers({ MakeServer("s1", LayerRange{ 0, 5 }),
                    MakeServer("s2", LayerRange{ 0, 5 }) });
  host.Run(10s);
  host.Deliver(Leading{ .leading = true, .fencing = FencingNumber{ 4 } });
  host.Run(1s);
  cr_assert(host.sent.empty());
  host.Run(1s);
  cr_assert_eq(host.sent.size(), 1U);
}

Test(placement, engines_that_hold_layers_are_not_moved_while_engines_appear)
{
  Fixture host;
  host.Lead();
  host.Run(10s);
  host.SetServers({ MakeServer("s1", LayerRange{ 0, 5 }),
                    MakeServer("s2", LayerRange{ 0, 5 }) });
  host.Run(1s);
  host.SetServers({ MakeServer("s1", LayerRange{ 0, 5 }),
                    MakeServer("s2", LayerRange{ 0, 5 }),
                    MakeServer("s3", LayerRange{ 4, 8 }) });
  host.Run(10s);
  cr_assert(host.sent.empty());
}
