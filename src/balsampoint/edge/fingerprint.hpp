#pragma once

#include "balsampoint/core/id.hpp"

#include <string>
#include <string_view>

namespace balsampoint::edge {

/** @brief What makes two requests the same one, whoever receives them. */
struct RequestIdentity
{
  /** Empty for public routes. */
  const WorkspaceId& workspace;
  std::string_view method;
  std::string_view host;
  /** Path and query. */
  std::string_view target;
  std::string_view body;
};

/**
 * @brief Hashes the identity of a request; equal on all hosts and after a
 * restart.
 * @param aIdentity The identity.
 * @return 16 hexadecimal digits.
 */
[[nodiscard]] std::string
Fingerprint(const RequestIdentity& aIdentity);

} // namespace balsampoint::edge
