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

/** @brief Fixed values of one host. */
struct Settings
{
  HostId self;
  Incarnation incarnation;
  /** Where this host listens for other hosts. */
  std::string address;
  /** Whether servers send their heartbeats to this host. */
  bool hears{ false };
  /** Control hosts known from the start. */
  std::vector<ControlHost> seeds;
  /** Time without a heartbeat after which a server is silent. */
  Duration silence{ std::chrono::milliseconds{ 4200 } };
  /** Time between two subscriptions to one control host. */
  Duration renewal{ std::chrono::milliseconds{ 700 } };
  /** Silence of a host after which it counts as out of reach. */
  Duration hostSilence{ std::chrono::milliseconds{ 2500 } };
  /** Silence after which a control host that is no seed is forgotten. */
  Duration forgetHost{ std::chrono::seconds{ 60 } };
  /** How long a server that signed off is remembered. */
  Duration memory{ std::chrono::minutes{ 10 } };
};

/** @brief A server that sends its heartbeats to this host. */
struct Heard
{
  Claim claim;
  Instant at{};
  /** Version of this host's claims at which it last changed. */
  std::uint64_t version{};
  /** Stamp of the claim at that version. */
  Stamp told;
};

/** @brief The newest claim on a server, whoever made it. */
struct Record
{
  Claim claim;
  HostId owner;
  /** When it left; `kNever` while it is there. */
  Instant goneAt{ kNever };
};

/** @brief Another control host. */
struct Source
{
  std::string address;
  Incarnation incarnation;
  /** Version of its claims that this host has. */
  std::uint64_t have{};
  std::optional<Instant> heardAt;
  bool isSeed{ false };
};

/** @brief A host that wants this host's claims. */
struct Subscriber
{
  Instant heardAt{};
  bool hears{ false };
  std::string address;
  /** Version of this host's claims sent to it. */
  std::uint64_t sent{};
  /** Newest configuration it was told of. */
  ChangeNumber told;
};

/** @brief The roster of one host; the control thread owns it. */
struct State
{
  Settings settings;
  std::map<ServerId, Record> records;
  /** Other control hosts. */
  std::map<HostId, Source> sources;
  /** Servers heard here; on control hosts only. */
  std::map<ServerId, Heard> heard;
  std::uint64_t version{};
  std::map<HostId, Subscriber> subscribers;
  /** Newest configuration that this host has. */
  ChangeNumber configuration;
  Instant nextTick{};
  Instant nextRenewal{};
  Instant lastTick{ kNever };
  /** The view last published. */
  std::shared_ptr<const View> view;
};

/** @brief A server announced itself to this host. */
struct Heartbeat
{
  Claim claim;
};

/** @brief A server signed off at this host. */
struct SignedOff
{
  ServerId server;
  /** Start of the incarnation that signed off; absent if not told. */
  std::optional<Incarnation> born;
};

/** @brief A message of another host. */
struct Received
{
  HostId from;
  Message message;
};

/** @brief This host has a newer configuration. */
struct ConfigurationKnown
{
  ChangeNumber number;
};

/** @brief What the roster reacts to. */
using Event = std::variant<Heartbeat, SignedOff, Received, ConfigurationKnown>;

/** @brief Replaces the view that others read. */
struct Publish
{
  std::shared_ptr<const View> view;
};

/** @brief Says where a host can be reached. */
struct Reach
{
  HostId host;
  std::string address;
};

/** @brief Sends a message to another host without waiting. */
struct Send
{
  HostId to;
  Message message;
};

/** @brief Says which configuration a control host has. */
struct ConfigurationHeard
{
  HostId host;
  ChangeNumber number;
};

/** @brief What the roster asks of the daemon. */
using Action = std::variant<Publish, Reach, Send, ConfigurationHeard>;

/** @brief Collects what a command asks of the daemon. */
using Actions = std::vector<Action>;

} // namespace balsampoint::roster
