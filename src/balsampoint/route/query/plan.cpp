#include "balsampoint/route/query/plan.hpp"

#include <algorithm>

namespace balsampoint::route {

namespace {

/** Whether two graphs differ at most in loads, and so have the same flow. */
bool
HasSameFlow(const Graph& aOne, const Graph& aOther)
{
  return aOne.layers == aOther.layers &&
         aOne.activationBytes == aOther.activationBytes &&
         aOne.links == aOther.links &&
         std::ranges::equal(
           aOne.nodes, aOther.nodes, {}, &Node::stage, &Node::stage);
}

} // namespace

Table
Plan(const Table& aPrevious, const PlanInput& aInput)
{
  Table table;
  for (const auto& [id, pipeline] : aInput.document.pipelines) {
    auto& routes = table.pipelines[id];
    routes.graph = Graph::Make(pipeline, aInput.servers, aInput.links);
    const auto known = aPrevious.pipelines.find(id);
    if (known == aPrevious.pipelines.end() ||
        !HasSameFlow(known->second.graph, routes.graph)) {
      continue;
    }
    routes.flow = known->second.flow;
    routes.flowNumber = known->second.flowNumber;
  }
  return table;
}

std::vector<PipelineId>
PipelinesWithoutFlow(const Table& aTable)
{
  std::vector<PipelineId> pipelines;
  for (const auto& [id, routes] : aTable.pipelines) {
    if (routes.flowNumber == 0) {
      pipelines.push_back(id);
    }
  }
  return pipelines;
}

} // namespace balsampoint::route
