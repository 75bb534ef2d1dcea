#include "balsampoint/config/query/document_text.hpp"

#include "balsampoint/config/internal/document_reader.hpp"
#include "balsampoint/config/internal/duration_text.hpp"

#include <nlohmann/json.hpp>

namespace balsampoint::config {

namespace {

using Json = nlohmann::json;

Json
ToJson(const std::vector<KeyHash>& aKeys)
{
  auto list = Json::array();
  for (const auto& key : aKeys) {
    list.push_back(
      { { "id", key.id }, { "salt", key.salt }, { "sha256", key.sha256 } });
  }
  return list;
}

Json
ToJson(const Zone& aZone)
{
  return { { "region", aZone.region.String() } };
}

Json
ToJson(const Link& aLink)
{
  return { { "from", aLink.from.String() },
           { "to", aLink.to.String() },
           { "bytes_per_second", aLink.bytesPerSecond },
           { "delay", internal::DurationText(aLink.delay) } };
}

Json
ToJson(const Pipeline& aPipeline)
{
  return { { "model", aPipeline.model.String() },
           { "version", aPipeline.version },
           { "adapter", aPipeline.adapter },
           { "layers", aPipeline.layers },
           { "max_tokens", aPipeline.maxTokens },
           { "activation_bytes", aPipeline.activationBytes },
           { "timeout", internal::DurationText(aPipeline.timeout) } };
}

Json
ToJson(const Service& aService)
{
  auto rules = Json::array();
  for (const auto& rule : aService.rules) {
    rules.push_back({ { "method", rule.method },
                      { "path_prefix", rule.pathPrefix },
                      { "idempotent", rule.idempotent } });
  }
  return { { "rules", std::move(rules) },
           { "timeout", internal::DurationText(aService.timeout) },
           { "max_body_bytes", aService.maxBodyBytes } };
}

/** Adds a list of names under a field, if there is a list. */
template<typename Id>
void
AddNames(Json& aInto, const char* aField, const BasicAllowance<Id>& aAllowance)
{
  if (!aAllowance.listed) {
    return;
  }
  auto& list = aInto[aField] = Json::array();
  for (const auto& id : *aAllowance.listed) {
    list.push_back(id.String());
  }
}

Json
ToJson(const Workspace& aWorkspace)
{
  const auto& limits = aWorkspace.limits;
  Json workspace{
    { "keys", ToJson(aWorkspace.keys) },
    { "weight", aWorkspace.weight },
    { "priority", aWorkspace.priority },
    { "limits",
      { { "requests_per_second", limits.requestsPerSecond },
        { "concurrent_requests", limits.concurrentRequests } } }
  };
  AddNames(workspace, "pipelines", aWorkspace.pipelines);
  AddNames(workspace, "services", aWorkspace.services);
  return workspace;
}

Json
ToJson(const OperatorEntry& aOperator)
{
  return { { "keys", ToJson(aOperator.keys) } };
}

template<typename Map>
Json
MapToJson(const Map& aMap)
{
  auto object = Json::object();
  for (const auto& [id, value] : aMap) {
    object[id.String()] = ToJson(value);
  }
  return object;
}

} // namespace

std::string
Serialize(const Document& aDocument)
{
  auto links = Json::array();
  for (const auto& link : aDocument.links) {
    links.push_back(ToJson(link));
  }
  const Json root{ { "zones", MapToJson(aDocument.zones) },
                   { "links", std::move(links) },
                   { "pipelines", MapToJson(aDocument.pipelines) },
                   { "services", MapToJson(aDocument.services) },
                   { "workspaces", MapToJson(aDocument.workspaces) },
                   { "operators", MapToJson(aDocument.operators) } };
  return root.dump();
}

tl::expected<Document, Problems>
Parse(std::string_view aText)
{
  const auto root = internal::ParseYaml(aText, "");
  if (!root) {
    return tl::unexpected(root.error());
  }
  return internal::ReadDocument(*root);
}

} // namespace balsampoint::config
