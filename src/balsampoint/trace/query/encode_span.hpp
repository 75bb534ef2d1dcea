#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/trace/span.hpp"

#include <string>

namespace balsampoint::trace {

/**
 * @brief Writes a span as one line of OTLP JSON.
 * @param aSpan The span.
 * @param aHost Host that it was recorded on.
 * @return The line with its end.
 */
[[nodiscard]] std::string
EncodeSpan(const Span& aSpan, const HostId& aHost);

} // namespace balsampoint::trace
