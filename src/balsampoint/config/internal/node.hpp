#pragma once

#include "balsampoint/config/problem.hpp"

#include <cstdint>
#include <filesystem>
#include <map>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace balsampoint::config::internal {

/** @brief What a node of a settings text is. */
enum class NodeKind : std::uint8_t
{
  Null,
  Scalar,
  List,
  Map,
};

/** @brief One node of a settings text, with its place; moved, not copied. */
struct Node
{
  /**
   * @brief Makes a node without content.
   * @param aFile File it stands in.
   * @param aLine Line it starts at.
   * @param aKind What it is.
   */
  Node(std::string_view aFile, int aLine, NodeKind aKind = NodeKind::Null)
    : kind{ aKind }
    , file{ aFile }
    , line{ aLine }
  {
  }
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;
  Node(Node&&) noexcept = default;
  Node& operator=(Node&&) noexcept = default;
  ~Node() = default;

  NodeKind kind;
  std::string file;
  int line;
  std::string scalar;
  std::vector<Node> items;
  std::map<std::string, Node> fields;
};

/**
 * @brief Parses a YAML text.
 * @param aText The text.
 * @param aFile Name used in problems.
 * @return The root, or every problem of form: bad syntax, a duplicate key.
 */
[[nodiscard]] tl::expected<Node, Problems>
ParseYaml(std::string_view aText, std::string_view aFile);

/**
 * @brief Reads and parses a YAML file.
 * @param aFile The file.
 * @return The root, or the problems; a file that is empty or whose last line
 * has no end may still be in writing and is refused.
 */
[[nodiscard]] tl::expected<Node, Problems>
ReadYamlFile(const std::filesystem::path& aFile);

/**
 * @brief Merges a later text into an earlier one: maps merge deeply, a later
 * scalar or list replaces, null removes.
 * @param aInto The earlier text, changed.
 * @param aLater The later text.
 */
void
Merge(Node& aInto, Node aLater);

} // namespace balsampoint::config::internal
