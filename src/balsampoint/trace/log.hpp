#pragma once

#include "balsampoint/config/settings.hpp"
#include "balsampoint/core/id.hpp"

#include <string_view>

namespace balsampoint::trace {

/**
 * @brief Sets how the process writes its log, to the standard error stream.
 * @param aSettings Format and least level.
 * @param aHost Named in every line.
 */
void
ConfigureLog(const config::LogSettings& aSettings, const HostId& aHost);

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
