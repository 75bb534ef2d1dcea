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
  /** Time within which the server must announce itself again, or the reason of
   * the refusal. */
  tl::expected<Duration, Error> result;
};

/** @brief Publishes a new view to the traffic threads. */
struct Publish
{
  std::shared_ptr<const View> view;
};

/** @brief Sends a message to another host; delivery is not confirmed. */
struct Send
{
  HostId to;
  Message message;
};

/** @brief Output of the registry, carried out by its adapters. */
using Action = std::variant<Answered, Publish, Send>;

} // namespace balsampoint::registry
