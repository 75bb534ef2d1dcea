#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/routing/document.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <unordered_map>
#include <vector>

namespace balsampoint::routing {

/** @brief Transparent hash, for lookup of strings by `std::string_view`. */
struct TextHash
{
  using is_transparent = void; // NOLINT(readability-identifier-naming)

  std::size_t operator()(std::string_view aText) const noexcept
  {
    return std::hash<std::string_view>{}(aText);
  }
};

/** @brief Finds routes and workspaces of one configuration; immutable. */
class Table
{
public:
  /**
   * @brief Checks a configuration and indexes it.
   * @param aDocument The configuration.
   * @return The table, or `ErrorKind::InvalidConfiguration` with the reason.
   */
  [[nodiscard]] static tl::expected<std::shared_ptr<const Table>, Error> Make(
    Document aDocument);

  /** @brief The configuration. */
  [[nodiscard]] const Document& Source() const noexcept { return mDocument; }

  /**
   * @brief Finds the route with the longest prefix that begins a path.
   * @param aHost Host in the caller's request.
   * @param aPath Path in the caller's request.
   * @return The route; null if none matches.
   */
  [[nodiscard]] const Route* FindRoute(std::string_view aHost,
                                       std::string_view aPath) const;

  /**
   * @brief Finds the workspace that holds a key.
   * @param aKey The key.
   * @return The workspace; null if none holds it.
   */
  [[nodiscard]] const Workspace* FindWorkspace(std::string_view aKey) const;

private:
  using RouteIndex = std::vector<const Route*>;

  explicit Table(Document aDocument)
    : mDocument{ std::move(aDocument) }
  {
  }

  [[nodiscard]] tl::expected<void, Error> CheckServices() const;
  [[nodiscard]] tl::expected<void, Error> IndexRoutes();
  [[nodiscard]] tl::expected<void, Error> IndexKeys();
  [[nodiscard]] tl::expected<void, Error> CheckRoute(const Route& aRoute) const;

  Document mDocument;
  /** Routes of each host, the longest prefix first. */
  std::unordered_map<std::string, RouteIndex, TextHash, std::equal_to<>>
    mRoutes;
  std::unordered_map<std::string, const Workspace*, TextHash, std::equal_to<>>
    mKeys;
};

} // namespace balsampoint::routing
