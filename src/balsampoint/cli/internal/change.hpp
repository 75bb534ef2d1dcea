#pragma once

#include "balsampoint/cli/internal/client.hpp"
#include "balsampoint/config/problem.hpp"

#include <cstdint>
#include <filesystem>
#include <iosfwd>
#include <string>

namespace balsampoint::cli {

/** @brief One change to put to a host. */
struct Change
{
  std::uint64_t number{};
  std::string id;
  std::string document;
  /** How long the host waits for it to be in force; zero not to wait. */
  Duration wait{};
};

/**
 * @brief Makes a change from a folder.
 * @param aFolder The configuration's folder.
 * @param aNumber Number of the change.
 * @param aId Its id; empty takes one made from number and content, so that
 * the same change sent again is known as such.
 * @return The change, or the folder's problems.
 */
[[nodiscard]] tl::expected<Change, config::Problems>
MakeChange(const std::filesystem::path& aFolder,
           std::uint64_t aNumber,
           const std::string& aId);

/**
 * @brief Puts a change to a host.
 * @param aClient Calls the host.
 * @param aChange The change.
 * @return The answer, or why it isn't accepted.
 */
[[nodiscard]] tl::expected<Json, ClientError>
PutChange(Client& aClient, const Change& aChange);

/**
 * @brief Prints problems to the standard error stream, a line each.
 * @param aProblems The problems.
 * @return `ExitCode::Invalid`.
 */
ExitCode
PrintProblems(const config::Problems& aProblems);

} // namespace balsampoint::cli
