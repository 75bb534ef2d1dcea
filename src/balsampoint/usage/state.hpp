#pragma once

#include "balsampoint/core/time.hpp"
#include "balsampoint/usage/message.hpp"

#include <chrono>
#include <map>
#include <memory>
#include <variant>
#include <vector>

namespace balsampoint::usage {

/** @brief Settings of the exchange; constant while the host runs. */
struct Settings
{
  HostId self;
  /** Time between two sums sent to an entry host. */
  Duration interval{ std::chrono::milliseconds{ 200 } };
  /** Age at which an entry host's report expires. */
  Duration reportTimeout{ std::chrono::milliseconds{ 1500 } };
};

/** @brief Last report of one entry host. */
struct HostReport
{
  LocalUsage use;
  Instant receivedAt{};
};

/** @brief State of the exchange on one host; owned by the control thread. */
struct State
{
  Settings settings;
  /** Control host to which this host sends its work; empty if none is
   * reachable. */
  HostId collector;
  /** Reports of entry hosts to this host. */
  std::map<HostId, HostReport> reports;
  Instant nextSums{ kNever };
};

/**
 * @brief The control host that collects reports changed; empty if none is
 * reachable.
 */
struct CollectorChanged
{
  HostId host;
};

/** @brief This host's traffic thread measured its work in progress. */
struct Measured
{
  LocalUsage use;
};

/** @brief A message arrived from another host. */
struct Received
{
  HostId from;
  Message message;
};

/** @brief Input of the exchange. */
using Event = std::variant<CollectorChanged, Measured, Received>;

/** @brief Sends a message to another host; delivery is not confirmed. */
struct Send
{
  HostId to;
  Message message;
};

/**
 * @brief Passes the work of the other entry hosts to this host's traffic
 * thread.
 */
struct PublishRemote
{
  std::shared_ptr<const RemoteUsage> others;
};

/** @brief Output of the exchange, carried out by the daemon. */
using Action = std::variant<Send, PublishRemote>;

/** @brief Actions collected by a command, in order. */
using Actions = std::vector<Action>;

} // namespace balsampoint::usage
