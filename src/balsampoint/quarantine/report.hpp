#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/number.hpp"
#include "balsampoint/core/time.hpp"

#include <optional>
#include <span>
#include <vector>

namespace balsampoint::quarantine {

/** @brief A server that crashed, with the incarnation that did. */
struct CrashedServer
{
  ServerId server;
  Incarnation incarnation;

  auto operator<=>(const CrashedServer&) const = default;
};

/** @brief A crash under a prompt part, as reported to another host. */
struct CrashReport
{
  CrashedServer server;
  /** Time since the crash. */
  Duration age{};

  bool operator==(const CrashReport&) const = default;
};

/** @brief What one host, or several together, know about a suspected part. */
struct PartReport
{
  PromptPartId part;
  std::vector<CrashReport> crashes;
  /** Time since an answer to a request of the reporting host was last written;
   * absent for none. */
  std::optional<Duration> answeredFor;
  /** Time since the last crash, or since the last request that was refused. */
  Duration activeFor{};

  bool operator==(const PartReport&) const = default;
};

/**
 * @brief Adds the time for which a report was held.
 * @param aReport Report to change.
 * @param aHeld The time.
 */
void
Age(PartReport& aReport, Duration aHeld);

/**
 * @brief Joins the reports of several hosts, one for each part.
 * @param aReports The reports.
 */
[[nodiscard]] std::vector<PartReport>
Join(std::span<const PartReport> aReports);

} // namespace balsampoint::quarantine
