#pragma once

#include "balsampoint/core/time.hpp"
#include "balsampoint/usage/message.hpp"

#include <chrono>
#include <map>
#include <memory>
#include <variant>
#include <vector>

namespace balsampoint::usage {

/** @brief Times of the exchange. */
struct Settings
{
  HostId self;
  /** Time between two sums told to an entry host. */
  Duration interval{ std::chrono::milliseconds{ 200 } };
  /** Age at which an entry host's use no longer counts. */
  Duration lifetime{ std::chrono::milliseconds{ 1500 } };
};

/** @brief What one entry host has in progress. */
struct Reported
{
  OwnUse use;
  Instant at{};
};

/** @brief The sums of one host; the control thread owns them. */
struct State
{
  Settings settings;
  /** Host that sums up; empty if not known. */
  HostId collector;
  /** Entry hosts that report here. */
  std::map<HostId, Reported> reports;
  Instant nextSum{ kNever };
};

/** @brief The host that sums up is known; empty for none. */
struct CollectorKnown
{
  HostId host;
};

/** @brief This host's traffic thread tells what it has in progress. */
struct Measured
{
  OwnUse use;
};

/** @brief A message of another host. */
struct Received
{
  HostId from;
  Message message;
};

/** @brief What the exchange reacts to. */
using Event = std::variant<CollectorKnown, Measured, Received>;

/** @brief Sends a message to another host without waiting. */
struct Send
{
  HostId to;
  Message message;
};

/** @brief Tells this host's traffic thread what others have in progress. */
struct Tell
{
  std::shared_ptr<const OthersUse> others;
};

/** @brief What the exchange asks of the daemon. */
using Action = std::variant<Send, Tell>;

/** @brief Collects what a command asks of the daemon. */
using Actions = std::vector<Action>;

} // namespace balsampoint::usage
