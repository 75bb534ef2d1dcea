#pragma once

#include "balsampoint/roster/claim.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace balsampoint::roster {

/**
 * @brief A host and the address on which it accepts connections from other
 * hosts.
 */
struct HostAddress
{
  HostId host;
  /** IP address and port. */
  std::string address;

  auto operator<=>(const HostAddress&) const = default;
};

/** @brief Position of a host in the tree that claims spread through. */
enum class Role : std::uint8_t
{
  /** Subscribes to relays of its zone, or looks for them. */
  Entry,
  /** Subscribes to all control hosts and passes their claims on. */
  Relay,
  /** Receives heartbeats of servers and subscribes to the other control hosts.
   */
  Control,
};

/**
 * @brief Subscribes to the claims that a host has; sent periodically, which
 * also serves as a heartbeat.
 */
struct Subscribe
{
  /** Address on which the sender accepts connections from other hosts. */
  std::string address;
  /** Zone of the sender; empty if it does not take part in the tree. */
  ZoneId zone;
  Role role{ Role::Entry };
  /** Incarnation of the receiver that `receivedVersion` refers to; zero if no
   * update has been received from it. */
  Incarnation source;
  /** Version of the receiver's claims up to which the sender has received them.
   * */
  std::uint64_t receivedVersion{};
  /** Relays of its zone that have not answered the sender; empty unless no
   * relay serves it. */
  std::vector<HostId> lostRelays;
  /** Whether the sender is a control host that can hold the replicated log. */
  bool hasDisk{ false };

  bool operator==(const Subscribe&) const = default;
};

/** @brief A claim and the control host that makes it. */
struct OwnedClaim
{
  Claim claim;
  HostId owner;

  bool operator==(const OwnedClaim&) const = default;
};

/**
 * @brief Claims that changed since a version: a control host sends its own, a
 * relay those of all control hosts.
 */
struct Update
{
  Incarnation source;
  /** Zone of the sender. */
  ZoneId zone;
  /** Version that the claims are relative to; zero if all claims are included.
   * */
  std::uint64_t base{};
  std::uint64_t version{};
  std::vector<OwnedClaim> claims;
  /** Control hosts that the sender can reach, itself included if it is one. */
  std::vector<HostAddress> controls;
  /** Relays of the receiver's zone. */
  std::vector<HostAddress> relays;
  /** Number of the newest configuration that the sender has. */
  ChangeNumber configuration;

  bool operator==(const Update&) const = default;
};

/** @brief Answers a subscriber that is to subscribe to relays instead. */
struct Referral
{
  /** Relays of the receiver's zone. */
  std::vector<HostAddress> relays;
  /** Control hosts that the sender knows. */
  std::vector<HostAddress> controls;

  bool operator==(const Referral&) const = default;
};

/** @brief Messages that hosts exchange about servers. */
using Message = std::variant<Subscribe, Update, Referral>;

} // namespace balsampoint::roster
