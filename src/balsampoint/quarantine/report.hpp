#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/number.hpp"
#include "balsampoint/core/time.hpp"
#include "balsampoint/quarantine/suspect_id.hpp"

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

/** @brief A crash under a suspect, as reported to another host. */
struct CrashReport
{
  CrashedServer server;
  /** Time since the crash. */
  Duration age{};

  bool operator==(const CrashReport&) const = default;
};

/** @brief What one host, or several together, know about a suspect. */
struct SuspectReport
{
  SuspectId suspect;
  std::vector<CrashReport> crashes;
  /** Time since an answer to a request of the reporting host was last written;
   * absent for none. */
  std::optional<Duration> answeredFor;
  /** Time since the last crash, or since the last request that was refused. */
  Duration activeFor{};
  /** Whether a request arrived again before an answer to it. */
  bool cameAgain{ false };
  /** Whether an answer had begun before each of the crashes. */
  bool answersBegan{ false };

  bool operator==(const SuspectReport&) const = default;
};

/**
 * @brief Adds the time for which a report was held.
 * @param aReport Report to change.
 * @param aHeld The time.
 */
void
Age(SuspectReport& aReport, Duration aHeld);

/**
 * @brief Whether reports accuse more than earlier ones, ages aside.
 * @param aReports The reports.
 * @param aEarlier The earlier ones.
 */
[[nodiscard]] bool
AccuseMore(std::span<const SuspectReport> aReports,
           std::span<const SuspectReport> aEarlier);

/**
 * @brief Joins the reports of several hosts, one for each suspect.
 * @param aReports The reports.
 */
[[nodiscard]] std::vector<SuspectReport>
Join(std::span<const SuspectReport> aReports);

} // namespace balsampoint::quarantine
