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
  ZoneId zone;
  /** Whether this host passes the sums of relays on to other zones. */
  bool isControlHost{ false };
  /** Time between two sums sent to an entry host. */
  Duration interval{ std::chrono::milliseconds{ 200 } };
  /** Time until the next sums after a report of more suspects, and the least
   * time between two such reports that bring them forward. */
  Duration urgentDelay{ std::chrono::milliseconds{ 10 } };
  Duration urgentInterval{ std::chrono::seconds{ 1 } };
  /** Time after which an unchanged report is sent again. */
  Duration repeatInterval{ std::chrono::milliseconds{ 600 } };
  /** Time between two sums for entry hosts with what servers have said of their
   * rates, which takes more bytes than their work. */
  Duration rateInterval{ std::chrono::seconds{ 1 } };
  /** Age at which an entry host's report expires. */
  Duration reportTimeout{ std::chrono::milliseconds{ 1500 } };
  /** Age at which the sum of a relay or of the other zones expires. */
  Duration groupTimeout{ std::chrono::milliseconds{ 2500 } };
  /** Number of entry hosts for which the time between two sums sent to relays
   * or a control host grows by `interval`, which bounds the messages that these
   * receive. */
  std::uint32_t hostsPerInterval{ 24 };
  /** Most detours in one message; the choice rotates with time. */
  std::size_t maxDetours{ 8 };
  /** Longest time between two sums sent to another relay. */
  Duration longestPeerInterval{ std::chrono::milliseconds{ 400 } };
  /** Longest time between two sums sent to a control host. */
  Duration longestUpstreamInterval{ std::chrono::seconds{ 1 } };
};

/** @brief Last report of one entry host. */
struct HostReport
{
  LocalUsage use;
  Instant receivedAt{};
};

/** @brief Last sum of one relay. */
struct GroupReport
{
  GroupUsage use;
  Instant receivedAt{};
};

/** @brief Last sum of the other zones. */
struct FarReport
{
  FarUsage use;
  Instant receivedAt{};
};

/** @brief State of the exchange on one host; owned by the control thread. */
struct State
{
  Settings settings;
  /** Host to which this host reports its work; itself if it is a relay, empty
   * if none is reachable. */
  HostId collector;
  /** Other relays of the zone; empty unless this host is a relay. */
  std::vector<HostId> peers;
  /** Control host that passes sums on to other zones; empty unless this host
   * is a relay. */
  HostId upstream;
  /** Reports of entry hosts to this host. */
  std::map<HostId, HostReport> reports;
  /** Sums of other relays: of the zone on a relay, of all zones on a control
   * host. */
  std::map<HostId, GroupReport> groups;
  FarReport far;
  /** Report last sent to the collector. */
  HostReport sent;
  Instant nextSums{ kNever };
  /** When the next sums were last brought forward. */
  Instant hurriedAt{};
  Instant nextPeers{};
  Instant nextUpstream{};
  Instant nextRates{};
};

/** @brief The hosts with which this host exchanges work changed. */
struct TopologyChanged
{
  HostId collector;
  std::vector<HostId> peers;
  HostId upstream;
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
using Event = std::variant<TopologyChanged, Measured, Received>;

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
