#pragma once

#include "balsampoint/core/id.hpp"

#include <compare>
#include <string>

namespace balsampoint::reach {

/** @brief A host that opens connections to servers for hosts that can't. */
struct Detour
{
  ZoneId zone;
  /** IP address and port on which it accepts such connections. */
  std::string address;

  auto operator<=>(const Detour&) const = default;
};

} // namespace balsampoint::reach
