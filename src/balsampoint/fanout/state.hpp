#pragma once

#include "balsampoint/core/time.hpp"
#include "balsampoint/fanout/fwd.hpp"
#include "balsampoint/fanout/in_force.hpp"
#include "balsampoint/fanout/message.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <variant>
#include <vector>

namespace balsampoint::fanout {

/** @brief Fixed values of one host. */
struct Settings
{
  /** This host; its number is taken from `State::inForce` when it is sent. */
  HostReport self;
  /** Control hosts that join requests are sent to. */
  std::vector<HostId> seeds;
  /** Interval of heartbeats and reports. */
  Duration heartbeatInterval{ std::chrono::seconds{ 1 } };
  /** Time without contact after which a host counts as unreachable. */
  Duration contactTimeout{ std::chrono::milliseconds{ 3000 } };
  /** Age of the last sign of life of the leader after which a host joins
   * again. */
  Duration rootContactTimeout{ std::chrono::seconds{ 5 } };
  /** Whether this host is part of the tree; others only fetch configurations
   * that hosts advertise to them. */
  bool joinsTree{ true };
  /** Interval of join requests; eight times as long once ready. */
  Duration joinInterval{ std::chrono::milliseconds{ 250 } };
  /** Longest time that a starting host waits for all control hosts to answer.
   */
  Duration startTimeout{ std::chrono::seconds{ 2 } };
  /** Delay before a configuration that another host advertised is fetched from
   * it, in which the tree can deliver it. */
  Duration fetchDelay{ std::chrono::milliseconds{ 300 } };
  /** Time for which a starting host that is not part of the tree waits, after
   * the first advertisement, for a newer one. */
  Duration advertisementWait{ std::chrono::milliseconds{ 500 } };
  /** Interval of full reports. */
  Duration fullReportInterval{ std::chrono::seconds{ 10 } };
  /** Time without contact after which the leader removes a host from its
   * directory. */
  Duration hostRetention{ std::chrono::minutes{ 10 } };
  /** Largest number of hosts that one relay serves. */
  std::size_t hostsPerRelay{ 32 };
  /** Number of recent steps stored; a host further behind gets the whole
   * configuration. */
  std::size_t maxSteps{ 64 };
};

/** @brief A numbered configuration. */
struct Content
{
  ChangeNumber number;
  change::SharedSections sections{ std::make_shared<const change::Sections>() };
};

/** @brief A recent step, stored for hosts that are a few steps behind. */
struct Step
{
  ChangeNumber base;
  ChangeNumber number;
  change::Delta delta;
};

/** @brief A host below this one in the tree. */
struct Child
{
  HostReport report;
  /** The child that reports it; empty for a direct child. */
  HostId via;
  /** When it was last reported. */
  Instant lastReceivedAt{};
  /** Newest number sent to it. */
  ChangeNumber sent;
  /** When that number was sent. */
  Instant sentAt{};
  /** Whether its report is included in the next report to the parent. */
  bool changed{ true };
};

/** @brief A host in the leader's directory. */
struct DirectoryEntry
{
  HostReport report;
  /** The relay that reports it; the host itself for a relay. */
  HostId relay;
  /** When it was last reported. */
  Instant lastReceivedAt{};
};

/** @brief A pending `InForceRequest`. */
struct InForceWaiter
{
  /** Host that sent the request. */
  HostId origin;
  Ticket ticket;
  ChangeNumber number;
  Instant deadline{};
};

/** @brief A host that advertised a newer configuration than this host has. */
struct NewerHost
{
  HostId host;
  ChangeNumber number;
  /** When the configuration is fetched, unless it has arrived by then. */
  Instant fetchAt{ kNever };
  bool sameZone{ false };
};

/** @brief State of the module on one host; owned by the control thread. */
struct State
{
  Settings settings;
  /** Newest configuration that this host has. */
  Content content;
  /** Recent steps, oldest first, at most `Settings::maxSteps`. */
  std::deque<Step> steps;
  /** Newest number that this host knows of. */
  ChangeNumber newestKnown;
  /** Number of the configuration that the daemon has put in force. */
  ChangeNumber inForce;
  /** Leader of the control group; empty if unknown. */
  HostId leader;
  /** When this host became leader; `kNever` if it doesn't lead. */
  Instant leadingSince{ kNever };
  /** Host that sends updates to this one; empty if none is assigned. */
  HostId parent;
  /** When the last update of the parent was received. */
  Instant lastParentContactAt{};
  /** Last sign of life of the leader, as reported by the parent. */
  Instant lastRootContactAt{};
  /** Hosts below this one, by id. */
  std::map<HostId, Child> children;
  /** All hosts, by id; empty unless this host leads. */
  std::map<HostId, DirectoryEntry> directory;
  /** Pending requests; empty unless this host leads. */
  std::vector<InForceWaiter> waiters;
  /** Control hosts that can be reached now; join requests are sent to them
   * besides the seeds, which may be gone. */
  std::vector<HostId> controlHosts;
  /** Control hosts whose answers count for the start of this host. */
  std::set<HostId> answeredSeeds;
  /** When a starting host stops waiting for control hosts; `kNever` after. */
  Instant startDeadline{ kNever };
  Instant nextJoin{ kNever };
  Instant nextHeartbeat{ kNever };
  Instant nextFullReport{};
  NewerHost newer;
  /** Whether this host has published its first configuration. */
  bool ready{ false };
};

/** @brief A message of another host. */
struct Received
{
  HostId from;
  Message message;
};

/** @brief This host's log contains a newly accepted configuration. */
struct Accepted
{
  ChangeNumber number;
  change::SharedSections sections;
};

/** @brief The leader of the control group changed, as known from this host's
 * own log. */
struct LeaderChanged
{
  /** The new leader; empty if there is none. */
  HostId leader;
  /** Whether the leader has applied everything committed before its term; it
   * isn't the root of the tree before. */
  bool caughtUp{ true };
};

/** @brief The daemon has put a configuration in force on this host. */
struct Published
{
  ChangeNumber number;
};

/**
 * @brief Requests an answer once all reachable hosts have a configuration in
 * force. Answered by `InForceKnown`; not answered if no leader is known or the
 * leader is lost.
 */
struct AwaitInForce
{
  Ticket ticket;
  ChangeNumber number;
  /** Time after which the answer is sent in any case. */
  Duration wait{};
};

/** @brief A host advertised the number of its configuration. */
struct NumberAdvertised
{
  HostId host;
  ChangeNumber number;
  /** Whether the host is in the zone of this one; it is preferred as a source
   * of the configuration. */
  bool sameZone{ false };
};

/** @brief The control hosts that this host can reach have changed. */
struct ControlHostsChanged
{
  std::vector<HostId> hosts;
};

/** @brief Events of the module. */
using Event = std::variant<Received,
                           Accepted,
                           LeaderChanged,
                           Published,
                           AwaitInForce,
                           NumberAdvertised,
                           ControlHostsChanged>;

/** @brief Send a message to another host. */
struct Send
{
  HostId to;
  Message message;
};

/** @brief Set the address that messages to a host are sent to. */
struct Route
{
  HostId host;
  /** IP address and port. */
  std::string address;
};

/** @brief Put a configuration in force on this host. */
struct Publish
{
  ChangeNumber number;
  change::SharedSections sections;
};

/** @brief Report the leader of the control group that the parent advertised. */
struct LeaderAdvertised
{
  /** The leader; empty if the parent knows none. */
  HostId leader;
};

/** @brief Answer an `AwaitInForce`. */
struct InForceKnown
{
  Ticket ticket;
  /** All known hosts with the configurations they have in force. */
  std::vector<HostReport> hosts;
};

/** @brief Update the status of the hosts that operators see. Emitted at each
 * heartbeat. */
struct StatusReady
{
  InForce inForce;
};

/** @brief Actions that the daemon performs for the module. */
using Action = std::
  variant<Send, Route, Publish, LeaderAdvertised, InForceKnown, StatusReady>;

/** @brief Actions that a command emits. */
using Actions = std::vector<Action>;

} // namespace balsampoint::fanout
