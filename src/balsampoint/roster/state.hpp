#pragma once

#include "balsampoint/core/time.hpp"
#include "balsampoint/roster/message.hpp"
#include "balsampoint/roster/view.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace balsampoint::roster {

/** @brief Settings of one host; constant while it runs. */
struct Settings
{
  HostId self;
  Incarnation incarnation;
  /** Address on which this host accepts connections from other hosts. */
  std::string address;
  ZoneId zone;
  /** Whether this is a control host, to which servers send heartbeats. */
  bool isControlHost{ false };
  /** Whether this is a control host that can hold the replicated log. */
  bool hasDisk{ false };
  /** Control hosts known from the settings. */
  std::vector<HostAddress> seeds;
  /** Time without a heartbeat after which a server counts as silent. */
  Duration heartbeatTimeout{ std::chrono::milliseconds{ 4200 } };
  /** Time between two renewals of a subscription. */
  Duration renewalInterval{ std::chrono::milliseconds{ 700 } };
  /** Time without a message after which a host counts as unreachable. */
  Duration hostTimeout{ std::chrono::milliseconds{ 2500 } };
  /** Time without a message after which an entry host counts a relay as lost;
   * two renewals may be lost. */
  Duration relayTimeout{ std::chrono::milliseconds{ 1500 } };
  /** Time without an answer to a subscription after which an entry host asks
   * the control hosts too. */
  Duration answerTimeout{ std::chrono::milliseconds{ 300 } };
  /** Time after which a relay that no host has named is forgotten. */
  Duration relayRetention{ std::chrono::seconds{ 12 } };
  /** Time between two registrations of an entry host that follows relays; they
   * replace lost relays. */
  Duration registrationInterval{ std::chrono::seconds{ 8 } };
  /** Shortest time between two rounds of updates to all subscribers. */
  Duration minPushInterval{ std::chrono::milliseconds{ 100 } };
  /** Time without a message after which a subscriber, or a control host that is
   * no seed, is dropped. */
  Duration hostRetention{ std::chrono::seconds{ 60 } };
  /** Time for which a silent or signed-off server is kept, so that a late
   * heartbeat does not bring it back. */
  Duration serverRetention{ std::chrono::minutes{ 10 } };
  /** Control hosts, this one included, that have a departure before the server
   * is told so; fewer where fewer are known. */
  std::size_t departureCopies{ 1 };
  /** Time after which the answer to a server that leaves is a refusal; a server
   * waits 1 s. */
  Duration departureTimeout{ std::chrono::milliseconds{ 800 } };
};

/** @brief A server that sends heartbeats to this host. */
struct LocalServer
{
  Claim claim;
  Instant lastHeartbeatAt{};
  /** Version of this host's claims in which this claim last changed. */
  std::uint64_t version{};
  /** Stamp of the claim in that version, as advertised to subscribers. */
  Stamp advertisedStamp;
  /** Whether the claim is a departure that another control host passed on; the
   * server sends no heartbeats here. */
  bool adopted{ false };
};

/** @brief The newest claim on a server from any control host. */
struct Record
{
  Claim claim;
  HostId owner;
  /** When the server was found to be gone; `kNever` otherwise. */
  Instant goneAt{ kNever };
  /** Version of this host in which the record last changed; only relays number
   * their records. */
  std::uint64_t version{};
};

/** @brief Another host, to whose claims this host may subscribe. */
struct Source
{
  std::string address;
  Incarnation incarnation;
  /** Version of its claims up to which this host has received them. */
  std::uint64_t receivedVersion{};
  std::optional<Instant> lastReceivedAt;
  /** When the oldest subscription without an answer was sent; `kNever` if all
   * are answered. */
  Instant unansweredSince{ kNever };
  bool isSeed{ false };
};

/** @brief A relay of this host's zone. */
struct Relay
{
  Source source;
  /** Control hosts that it could reach at its last message. */
  std::vector<HostId> controls;
  /** When another host last named it as a relay. */
  Instant namedAt{};
  /** When this host subscribed to it; `kNever` if it has not. */
  Instant subscribedAt{ kNever };
  /** When it last answered that it is no relay; `kNever` if it has not. */
  Instant refusedAt{ kNever };
};

/** @brief A host that subscribes to this host's claims. */
struct Subscriber
{
  Instant lastReceivedAt{};
  Role role{ Role::Entry };
  ZoneId zone;
  std::string address;
  /** Version of this host's claims last sent to it. */
  std::uint64_t sentVersion{};
  /** Number of the newest configuration last sent to it. */
  ChangeNumber sentConfiguration;
  /** Version of this host's claims that it is known to have. */
  std::uint64_t confirmedVersion{};
  /** Whether it is a control host that can hold the replicated log. */
  bool hasDisk{ false };
};

/** @brief A control host that can hold the replicated log. */
struct ControlHost
{
  HostId host;
  ZoneId zone;

  bool operator==(const ControlHost&) const = default;
};

/** @brief A server that leaves and waits for its answer. */
struct Departure
{
  Ticket ticket;
  /** Version of this host's claims that has its departure. */
  std::uint64_t version{};
  /** When the answer is a refusal. */
  Instant deadline{};
};

/** @brief Roster of one host; owned by the control thread. */
struct State
{
  Settings settings;
  Role role{ Role::Entry };
  std::map<ServerId, Record> records;
  /** Other control hosts. */
  std::map<HostId, Source> sources;
  /** Other relays of this host's zone; empty on control hosts. */
  std::map<HostId, Relay> relays;
  /** Servers that send heartbeats to this host; empty unless it is a control
   * host. */
  std::map<ServerId, LocalServer> localServers;
  std::uint64_t version{};
  std::map<HostId, Subscriber> subscribers;
  /** Control hosts with a disk as reported last, ordered by id. */
  std::vector<ControlHost> reachableControlHosts;
  /** Answers that wait for copies on other control hosts. */
  std::vector<Departure> departures;
  /** Number of the newest configuration that this host has. */
  ChangeNumber configuration;
  Instant nextTick{};
  Instant nextRenewal{};
  Instant lastTick{ kNever };
  /** When an entry host registers at a control host again. */
  Instant nextRegistration{};
  /** When an entry host that no relay serves last asked all control hosts. */
  Instant lastAskedControls{ kNever };
  /** Whether an update has ever been received. */
  bool attached{ false };
  /** Whether this is a relay that no control host answers. */
  bool isolated{ false };
  /** When a control host last referred this host, then a relay, to others. */
  Instant referredAt{ kNever };
  /** Registrations since the last answer. */
  std::uint32_t unansweredRegistrations{};
  Instant lastPushAt{ Instant::min() };
  /** When changes that came too soon after the last push are sent. */
  Instant nextPush{ kNever };
  /** Increases with each change of the records. */
  std::uint64_t revision{};
  /** View published last, and what it was made from. */
  std::shared_ptr<const View> view;
  std::uint64_t viewRevision{};
  std::vector<HostId> viewOwners;
};

/** @brief A server sent a heartbeat to this host. */
struct Heartbeat
{
  Claim claim;
  /** Asks for a `DepartureAnswered` if the server leaves; empty for none. */
  Ticket ticket;
};

/** @brief A server signed off at this host. */
struct SignedOff
{
  ServerId server;
  /** Incarnation that signed off; absent if the server did not send it. */
  std::optional<Incarnation> incarnation;
  /** Asks for a `DepartureAnswered`; empty for none. */
  Ticket ticket;
};

/** @brief A message arrived from another host. */
struct Received
{
  HostId from;
  Message message;
};

/** @brief This host has received a newer configuration. */
struct ConfigurationUpdated
{
  ChangeNumber number;
};

/** @brief Input of the roster. */
using Event =
  std::variant<Heartbeat, SignedOff, Received, ConfigurationUpdated>;

/** @brief Publishes a new view to the readers on this host. */
struct Publish
{
  std::shared_ptr<const View> view;
};

/** @brief Sets the address at which a host can be reached. */
struct SetHostAddress
{
  HostId host;
  std::string address;
};

/** @brief Sends a message to another host; delivery is not confirmed. */
struct Send
{
  HostId to;
  Message message;
};

/**
 * @brief Reports the number of the newest configuration that a control host or
 * relay has.
 */
struct ConfigurationAdvertised
{
  HostId host;
  ChangeNumber number;
  /** Whether the host is in the zone of this one. */
  bool sameZone{ false };
};

/** @brief Reports the other control hosts that have a disk and can be reached.
 */
struct ControlHostsChanged
{
  std::vector<ControlHost> hosts;
};

/** @brief Reports that this host became a relay or an entry host again. */
struct RoleChanged
{
  Role role{ Role::Entry };
  /** Control host that decided it. */
  HostId by;
};

/** @brief Answers a server that leaves. */
struct DepartureAnswered
{
  Ticket ticket;
  /** Whether enough control hosts have the departure; otherwise the server has
   * to ask again. */
  bool kept{ false };
};

/** @brief Output of the roster, carried out by the daemon. */
using Action = std::variant<Publish,
                            SetHostAddress,
                            Send,
                            ConfigurationAdvertised,
                            ControlHostsChanged,
                            RoleChanged,
                            DepartureAnswered>;

/** @brief Actions collected by a command, in order. */
using Actions = std::vector<Action>;

} // namespace balsampoint::roster
