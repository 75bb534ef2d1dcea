#pragma once

#include "balsampoint/member/message.hpp"

#include <variant>

namespace balsampoint::member {

/** @brief A message of another host arrived. */
struct Received
{
  HostId from;
  Message message;
};

/** @brief This host is about to stop. */
struct Leave
{};

/** @brief What the membership reacts to. */
using Event = std::variant<Received, Leave>;

} // namespace balsampoint::member
