#pragma once

#include <compare>
#include <string>
#include <vector>

namespace balsampoint::config {

/** @brief One error in a file of settings or configuration. */
struct Problem
{
  /** Path of the file; empty when the text came from elsewhere. */
  std::string file;
  /** Line from one; zero when no line can be named. */
  int line{};
  /** Path of the field, such as `workspaces.galle.keys[0].salt`. */
  std::string field;
  std::string message;

  auto operator<=>(const Problem&) const = default;
};

/** @brief All errors of one load, in the order of the text. */
using Problems = std::vector<Problem>;

/**
 * @brief Writes a problem as one line, `file:line: field: message`.
 * @param aProblem The problem.
 * @return The line, without its end.
 */
[[nodiscard]] std::string
ToString(const Problem& aProblem);

} // namespace balsampoint::config
