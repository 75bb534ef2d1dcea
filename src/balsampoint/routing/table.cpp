#include "balsampoint/routing/table.hpp"

#include "balsampoint/routing/engine_check.hpp"

#include <algorithm>
#include <numeric>

namespace balsampoint::routing {

namespace {

tl::unexpected<Error>
Invalid(std::string_view aDetail)
{
  return Refuse(ErrorKind::InvalidConfiguration, aDetail);
}

} // namespace

tl::expected<std::shared_ptr<const Table>, Error>
Table::Make(Document aDocument)
{
  std::shared_ptr<Table> table{ new Table{ std::move(aDocument) } };
  if (auto checked = table->CheckServices(); !checked) {
    return tl::unexpected(checked.error());
  }
  if (auto indexed = table->IndexRoutes(); !indexed) {
    return tl::unexpected(indexed.error());
  }
  if (auto indexed = table->IndexKeys(); !indexed) {
    return tl::unexpected(indexed.error());
  }
  return table;
}

const Route*
Table::FindRoute(std::string_view aHost, std::string_view aPath) const
{
  const auto found = mRoutes.find(aHost);
  if (found == mRoutes.end()) {
    return nullptr;
  }
  for (const auto* route : found->second) {
    if (aPath.starts_with(route->pathPrefix)) {
      return route;
    }
  }
  return nullptr;
}

const Workspace*
Table::FindWorkspace(std::string_view aKey) const
{
  const auto found = mKeys.find(aKey);
  return found == mKeys.end() ? nullptr : found->second;
}

tl::expected<void, Error>
Table::CheckServices() const
{
  for (const auto& entry : mDocument.services) {
    if (auto valid = CheckEngine(entry.second); !valid) {
      return valid;
    }
  }
  return {};
}

tl::expected<void, Error>
Table::CheckRoute(const Route& aRoute) const
{
  std::uint64_t weights = 0;
  for (const auto& target : aRoute.targets) {
    if (!mDocument.services.contains(target.service)) {
      return Invalid("route '" + aRoute.name +
                     "' refers to the unknown service '" +
                     target.service.String() + "'");
    }
    weights += target.weight;
  }
  if (weights == 0) {
    return Invalid("the weights of route '" + aRoute.name + "' add up to 0");
  }
  if (aRoute.timeout <= Duration{}) {
    return Invalid("the timeout of route '" + aRoute.name + "' is 0");
  }
  if (!aRoute.pathPrefix.starts_with('/') ||
      !aRoute.pathPrefix.ends_with('/')) {
    return Invalid("the prefix of route '" + aRoute.name +
                   "' does not begin and end with a slash");
  }
  return {};
}

tl::expected<void, Error>
Table::IndexRoutes()
{
  for (const auto& route : mDocument.routes) {
    if (auto valid = CheckRoute(route); !valid) {
      return valid;
    }
    mRoutes[route.host].push_back(&route);
  }
  for (auto& [host, routes] : mRoutes) {
    std::ranges::sort(routes, [](const Route* aOne, const Route* aOther) {
      const auto one = aOne->pathPrefix.size();
      const auto other = aOther->pathPrefix.size();
      return one != other ? one > other : aOne->pathPrefix < aOther->pathPrefix;
    });
    const auto duplicate = std::ranges::adjacent_find(
      routes, {}, [](const Route* aRoute) -> const std::string& {
        return aRoute->pathPrefix;
      });
    if (duplicate != routes.end()) {
      return Invalid("two routes have the host '" + host + "' and the prefix " +
                     (*duplicate)->pathPrefix);
    }
  }
  return {};
}

tl::expected<void, Error>
Table::IndexKeys()
{
  for (const auto& workspace : mDocument.workspaces) {
    for (const auto& key : workspace.keys) {
      const auto [found, added] = mKeys.emplace(key, &workspace);
      if (!added && found->second != &workspace) {
        return Invalid("the workspaces '" + found->second->id.String() +
                       "' and '" + workspace.id.String() + "' share a key");
      }
    }
  }
  return {};
}

} // namespace balsampoint::routing
