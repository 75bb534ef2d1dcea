#pragma once

#include "balsampoint/config/document.hpp"

#include <string_view>

namespace balsampoint::config {

/**
 * @brief Whether a call of a service may run more than once.
 *
 * The first rule that matches decides; a call that none matches is
 * non-idempotent.
 * @param aService The service.
 * @param aMethod HTTP method in upper case.
 * @param aPath Path at the service.
 */
[[nodiscard]] inline bool
IsIdempotent(const Service& aService,
             std::string_view aMethod,
             std::string_view aPath)
{
  for (const auto& rule : aService.rules) {
    const bool method = rule.method == "*" || rule.method == aMethod;
    if (!method || !aPath.starts_with(rule.pathPrefix)) {
      continue;
    }
    return rule.idempotent;
  }
  return false;
}

} // namespace balsampoint::config
