#include "balsampoint/route/query/find_chain.hpp"

#include "../servers.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using fake::Holder;
using fake::Verse;

namespace {

double
OnePerLayer(const route::Node& /*aNode*/)
{
  return 1.0;
}

tl::expected<route::Chain, Error>
Find(std::vector<registry::Server> aServers,
     LayerRange aLayers,
     std::vector<route::ExcludedServer> aExcluded = {})
{
  const auto graph = route::Graph::Make(Verse(), aServers, {});
  return route::FindChain(
    graph, { .layers = aLayers, .excluded = aExcluded }, OnePerLayer, 0.5);
}

} // namespace

Test(find_chain, enters_and_leaves_servers_in_the_middle_of_their_ranges)
{
  const auto chain =
    Find({ Holder("a", { 0, 7 }), Holder("b", { 5, 12 }) }, { 2, 12 });
  cr_assert(chain.has_value());
  cr_assert_eq(chain->size(), 2);
  cr_assert(route::Covers(*chain, { 2, 12 }));
  cr_assert_eq(chain->front().layers.begin, 2);
}

Test(find_chain, fails_when_all_servers_of_a_layer_are_excluded)
{
  const std::vector servers{ Holder("a", { 0, 6 }), Holder("b", { 6, 12 }) };
  cr_assert(Find(servers, { 0, 12 }).has_value());
  const auto chain =
    Find(servers, { 0, 12 }, { { ServerId{ "b" }, Incarnation{ 1 } } });
  cr_assert_eq(chain.error().kind, ErrorKind::NoServer);
}

Test(find_chain, leaving_servers_and_other_versions_are_not_used)
{
  auto leaving = Holder("a", { 0, 12 });
  leaving.announcement.state = registry::ServerState::Leaving;
  auto other = Holder("b", { 0, 12 });
  other.announcement.holdings.front().version = "2";
  cr_assert_not(Find({ leaving, other }, { 0, 12 }).has_value());
}
