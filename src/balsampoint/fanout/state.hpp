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
  /** This host; its number is filled in from the state. */
  HostReport self;
  /** Control hosts to join through. */
  std::vector<HostId> seeds;
  /** Time between heartbeats and between reports. */
  Duration interval{ std::chrono::seconds{ 1 } };
  /** Silence after which a host counts as out of reach. */
  Duration silence{ std::chrono::milliseconds{ 3000 } };
  /** Age of the news of the leader after which another parent is sought. */
  Duration rootSilence{ std::chrono::seconds{ 5 } };
  /** Time between requests to join; eight times as long once ready. */
  Duration joinRetry{ std::chrono::milliseconds{ 250 } };
  /** Time that a starting host waits for all control hosts to answer. */
  Duration startWait{ std::chrono::seconds{ 2 } };
  /** Time that the tree has to bring a configuration heard of elsewhere. */
  Duration fetchWait{ std::chrono::milliseconds{ 300 } };
  /** Time between full reports. */
  Duration fullReport{ std::chrono::seconds{ 10 } };
  /** Time after which the leader forgets a host out of reach. */
  Duration forget{ std::chrono::minutes{ 10 } };
  /** Hosts that one relay feeds at most. */
  std::size_t hostsPerRelay{ 32 };
  /** Steps kept for hosts a little behind. */
  std::size_t keptSteps{ 64 };
};

/** @brief A configuration with its number. */
struct Content
{
  ChangeNumber number;
  change::SharedSections sections{ std::make_shared<const change::Sections>() };
};

/** @brief A step kept for hosts a little behind. */
struct Step
{
  ChangeNumber base;
  ChangeNumber number;
  change::Delta delta;
};

/** @brief A host that this one feeds. */
struct Child
{
  HostReport report;
  /** The child that reports it; empty for a host fed directly. */
  HostId via;
  Instant heardAt{};
  /** Newest number sent to it. */
  ChangeNumber sent;
  Instant sentAt{};
  /** Whether its report goes into the next one upwards. */
  bool changed{ true };
};

/** @brief A host as the leader knows it. */
struct Known
{
  HostReport report;
  /** The relay that reports it; the host itself for a relay. */
  HostId relay;
  Instant heardAt{};
};

/** @brief Somebody who waits until all reachable hosts have a number. */
struct InForceWaiter
{
  HostId origin;
  Ticket ticket;
  ChangeNumber number;
  Instant deadline{};
};

/** @brief A host that has a newer configuration than this one. */
struct NewerHost
{
  HostId host;
  ChangeNumber number;
  /** When it is asked for it, unless it has come by then. */
  Instant askAt{ kNever };
};

/** @brief State of one host; the control thread owns it. */
struct State
{
  Settings settings;
  Content content;
  std::deque<Step> steps;
  /** Newest number that this host has heard of. */
  ChangeNumber seen;
  /** The configuration that the daemon has put in force. */
  ChangeNumber inForce;
  HostId leader;
  /** Since when this host leads; `kNever` if it does not. */
  Instant leadingSince{ kNever };
  HostId parent;
  Instant parentHeardAt{};
  /** When the leader was last alive, as the parent says. */
  Instant rootHeardAt{};
  std::map<HostId, Child> children;
  /** All hosts; kept by the leader only. */
  std::map<HostId, Known> directory;
  std::vector<InForceWaiter> waiters;
  std::set<HostId> answeredSeeds;
  Instant startDeadline{ kNever };
  Instant nextJoin{ kNever };
  Instant nextBeat{ kNever };
  Instant nextFullReport{};
  NewerHost newer;
  bool ready{ false };
};

/** @brief A message of another host. */
struct Received
{
  HostId from;
  Message message;
};

/** @brief A configuration was accepted, as this host's own log says. */
struct Accepted
{
  ChangeNumber number;
  change::SharedSections sections;
};

/** @brief The leader of the control group changed, as this host's log says. */
struct LeaderKnown
{
  HostId leader;
  /** Whether the leader has all that was committed before its term; it hands
   * nothing on before. */
  bool caughtUp{ true };
};

/** @brief The daemon has put a configuration in force on this host. */
struct Published
{
  ChangeNumber number;
};

/**
 * @brief Asks when all reachable hosts have a configuration in force; answered
 * by `InForceKnown`, unless no leader is known or it is lost meanwhile.
 */
struct AwaitInForce
{
  Ticket ticket;
  ChangeNumber number;
  /** Time after which the answer comes anyway. */
  Duration wait{};
};

/** @brief A host has told which configuration it has. */
struct NumberHeard
{
  HostId host;
  ChangeNumber number;
};

/** @brief Everything that a host reacts to. */
using Event = std::variant<Received,
                           Accepted,
                           LeaderKnown,
                           Published,
                           AwaitInForce,
                           NumberHeard>;

/** @brief Hands a message to the transport. */
struct Send
{
  HostId to;
  Message message;
};

/** @brief Says where a host can be reached. */
struct Route
{
  HostId host;
  std::string address;
};

/** @brief Puts a configuration in force on this host. */
struct Publish
{
  ChangeNumber number;
  change::SharedSections sections;
};

/** @brief Says who leads the control group, as heard from the parent. */
struct LeaderHeard
{
  HostId leader;
};

/** @brief Answers `AwaitInForce`. */
struct InForceKnown
{
  Ticket ticket;
  /** All hosts with what they have in force. */
  std::vector<HostReport> hosts;
};

/** @brief What operators see of the hosts; comes with each heartbeat. */
struct StatusReady
{
  InForce inForce;
};

/** @brief Everything that a host asks of the daemon. */
using Action =
  std::variant<Send, Route, Publish, LeaderHeard, InForceKnown, StatusReady>;

/** @brief Collects what a command asks of the daemon. */
using Actions = std::vector<Action>;

} // namespace balsampoint::fanout
