#pragma once

#include "balsampoint/member/message.hpp"

#include <variant>

namespace balsampoint::member {

/** @brief A message from another host was received. */
struct Received
{
  HostId from;
  Message message;
};

/** @brief A planned stop of this host begins. */
struct Leave
{};

/** @brief Input of the module. */
using Event = std::variant<Received, Leave>;

} // namespace balsampoint::member
