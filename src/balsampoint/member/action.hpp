#pragma once

#include "balsampoint/member/message.hpp"

#include <memory>
#include <string>
#include <variant>

namespace balsampoint::member {

/** @brief Sends a message; delivery is not guaranteed. */
struct Send
{
  /** Empty if only the address is known. */
  HostId to;
  std::string address;
  Message message;
};

/** @brief Publishes a new list of hosts to the other modules. */
struct Publish
{
  std::shared_ptr<const View> view;
};

/** @brief Output of the module, carried out by the daemon. */
using Action = std::variant<Send, Publish>;

} // namespace balsampoint::member
