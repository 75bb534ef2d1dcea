#pragma once

#include "balsampoint/member/message.hpp"

#include <memory>
#include <string>
#include <variant>

namespace balsampoint::member {

/** @brief Sends a message without waiting. */
struct Send
{
  /** Empty when only the address is known. */
  HostId to;
  std::string address;
  Message message;
};

/** @brief Replaces the list of hosts that others read. */
struct Publish
{
  std::shared_ptr<const View> view;
};

/** @brief What the membership asks its adapters to do. */
using Action = std::variant<Send, Publish>;

} // namespace balsampoint::member
