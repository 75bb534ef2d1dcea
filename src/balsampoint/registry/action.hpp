#pragma once

#include "balsampoint/registry/message.hpp"
#include "balsampoint/registry/view.hpp"

#include <memory>
#include <tl/expected.hpp>
#include <variant>

namespace balsampoint::registry {

/** @brief Answers an announcement. */
struct Answered
{
  Ticket ticket;
  /** Time within which the server renews, or why it is refused. */
  tl::expected<Duration, Error> result;
};

/** @brief Replaces the view that traffic threads read. */
struct Publish
{
  std::shared_ptr<const View> view;
};

/** @brief Sends a message to another host without waiting. */
struct Send
{
  HostId to;
  Message message;
};

/** @brief What the registry asks its adapters to do. */
using Action = std::variant<Answered, Publish, Send>;

} // namespace balsampoint::registry
