#pragma once

#include "balsampoint/config/settings.hpp"
#include "balsampoint/core/id.hpp"

#include <spdlog/logger.h>
#include <string_view>

namespace balsampoint::trace {

/**
 * @brief Sets how the process writes its log, to the standard error stream.
 * @param aSettings Format and least level.
 * @param aHost Named in every line.
 */
void
ConfigureLog(const config::LogSettings& aSettings, const HostId& aHost);

/**
 * @brief Writes the log as JSON lines to standard output, by a thread of its
 * own behind a bounded queue that drops the oldest lines when it is full.
 * @param aLevel Least level of lines that are written.
 * @param aHost Named in every line.
 */
void
ConfigureEventLog(config::LogLevel aLevel, const HostId& aHost);

/** @brief Logger of structured events; null before `ConfigureEventLog`. */
[[nodiscard]] spdlog::logger*
EventLogger() noexcept;

/** @brief Lines dropped since the queue was full. */
[[nodiscard]] std::size_t
DroppedLines();

/** @brief Names a request in the log lines of the thread while it lives. */
class LogScope
{
public:
  /**
   * @brief Names a request in the lines that follow.
   * @param aRequest The request; outlives the scope.
   * @param aWorkspace Its workspace; outlives the scope.
   */
  LogScope(std::string_view aRequest, std::string_view aWorkspace);

  LogScope(const LogScope&) = delete;
  LogScope& operator=(const LogScope&) = delete;
  LogScope(LogScope&&) = delete;
  LogScope& operator=(LogScope&&) = delete;

  /** @brief Goes back to what was named before. */
  ~LogScope();

private:
  std::string_view mOuterRequest;
  std::string_view mOuterWorkspace;
};

} // namespace balsampoint::trace
