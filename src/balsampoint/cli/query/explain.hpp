#pragma once

#include "balsampoint/cli/exit_code.hpp"

#include <istream>
#include <ostream>
#include <string_view>

namespace balsampoint::cli {

/**
 * @brief Prints what hosts logged of one request, in the order of time.
 *
 * With each of its lines stand the lines of the same host, in the same second
 * that say what the host came to believe: configurations, the leader,
 * servers that can't be reached.
 * @param aRequest Id of the request.
 * @param aLogs Lines of all hosts' logs, in any order.
 * @param aInto Receives the lines.
 * @return `Failed` when no line names the request.
 */
[[nodiscard]] ExitCode
Explain(std::string_view aRequest, std::istream& aLogs, std::ostream& aInto);

} // namespace balsampoint::cli
