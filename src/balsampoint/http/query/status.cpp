#include "balsampoint/http/query/status.hpp"

#include "balsampoint/config/query/document_text.hpp"
#include "balsampoint/http/engine_codec.hpp"
#include "balsampoint/http/internal/json_field.hpp"

#include <memory>

namespace balsampoint::http {

namespace {

using internal::Json;

traffic::Status
ReadStatus(const traffic::World& aWorld)
{
  const auto status = aWorld.status.Read();
  return status ? *status : traffic::Status{};
}

Json
Servers(const traffic::World& aWorld)
{
  Json servers = Json::array();
  const auto view = aWorld.servers.Read();
  if (!view) {
    return servers;
  }
  for (const auto& server : view->servers) {
    servers.push_back(Json::parse(Encode(server.announcement)));
  }
  return servers;
}

/** Layers of a pipeline that no live server takes new work for. */
Json
UnservedLayers(const config::Pipeline& aPipeline, const registry::View& aView)
{
  std::vector<bool> held(aPipeline.layers, false);
  for (const auto& server : aView.servers) {
    for (const auto& holding : server.announcement.holdings) {
      if (holding.model != aPipeline.model ||
          holding.version != aPipeline.version ||
          server.announcement.state != registry::ServerState::Ready) {
        continue;
      }
      for (auto layer = holding.layers.begin;
           layer < std::min(holding.layers.end, aPipeline.layers);
           ++layer) {
        held[layer] = true;
      }
    }
  }
  Json layers = Json::array();
  for (std::uint32_t layer = 0; layer < aPipeline.layers; ++layer) {
    if (!held[layer]) {
      layers.push_back(layer);
    }
  }
  return layers;
}

Json
Pipelines(const traffic::World& aWorld)
{
  Json pipelines = Json::array();
  const auto configuration = aWorld.configuration.Read();
  const auto servers = aWorld.servers.Read();
  if (!configuration) {
    return pipelines;
  }
  const registry::View none;
  for (const auto& [id, pipeline] : configuration->document.pipelines) {
    const auto unserved = UnservedLayers(pipeline, servers ? *servers : none);
    pipelines.push_back({ { "pipeline", id.String() },
                          { "model", pipeline.model.String() },
                          { "version", pipeline.version },
                          { "layers", pipeline.layers },
                          { "served", unserved.empty() },
                          { "unserved_layers", unserved } });
  }
  return pipelines;
}

Json
Workspaces(const traffic::World& aWorld)
{
  Json workspaces = Json::array();
  const auto configuration = aWorld.configuration.Read();
  if (!configuration) {
    return workspaces;
  }
  for (const auto& [id, workspace] : configuration->document.workspaces) {
    workspaces.push_back(
      { { "workspace", id.String() },
        { "weight", workspace.weight },
        { "priority", workspace.priority },
        { "requests_per_second", workspace.limits.requestsPerSecond },
        { "concurrent_requests", workspace.limits.concurrentRequests },
        { "keys", workspace.keys.size() } });
  }
  return workspaces;
}

Json
ControlGroup(const traffic::World& aWorld)
{
  const auto control = ReadStatus(aWorld).control;
  Json members = Json::array();
  for (const auto& member : control.members) {
    members.push_back({ { "host", member.host.String() },
                        { "role", member.role },
                        { "matched", member.matched } });
  }
  return { { "role", control.role },
           { "leader", control.leader.String() },
           { "term", control.term },
           { "commit", control.commit },
           { "members", std::move(members) } };
}

} // namespace

std::optional<std::string>
EncodeStatus(const traffic::World& aWorld, std::string_view aTopic)
{
  if (aTopic == "servers") {
    return Servers(aWorld).dump();
  }
  if (aTopic == "pipelines") {
    return Pipelines(aWorld).dump();
  }
  if (aTopic == "workspaces") {
    return Workspaces(aWorld).dump();
  }
  if (aTopic == "control") {
    return ControlGroup(aWorld).dump();
  }
  return std::nullopt;
}

std::string
EncodeHosts(std::span<const traffic::HostStatus> aHosts)
{
  Json hosts = Json::array();
  for (const auto& host : aHosts) {
    hosts.push_back({ { "host", host.host.String() },
                      { "zone", host.zone.String() },
                      { "incarnation", host.incarnation.Value() },
                      { "state", host.state },
                      { "number", host.inForce.Value() } });
  }
  return hosts.dump();
}

std::string
EncodeConfiguration(const traffic::World& aWorld)
{
  Json answer{ { "number", 0 }, { "document", nullptr } };
  if (const auto configuration = aWorld.configuration.Read()) {
    const auto& document = configuration->document;
    answer["number"] = document.number.Value();
    answer["document"] = Json::parse(config::Serialize(document));
  }
  return answer.dump();
}

std::string
EncodeHistory(const traffic::World& aWorld)
{
  Json changes = Json::array();
  for (const auto& entry : ReadStatus(aWorld).history) {
    changes.push_back({ { "number", entry.number.Value() },
                        { "change", entry.change.String() },
                        { "by", entry.by.String() } });
  }
  return changes.dump();
}

} // namespace balsampoint::http
