#pragma once

#include "balsampoint/roster/claim.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace balsampoint::roster {

/**
 * @brief A control host and the address on which it accepts connections from
 * other hosts.
 */
struct ControlHost
{
  HostId host;
  /** IP address and port. */
  std::string address;

  auto operator<=>(const ControlHost&) const = default;
};

/**
 * @brief Subscribes to the claims of a control host; sent periodically,
 * which also serves as a heartbeat.
 */
struct Subscribe
{
  /** Address on which the sender accepts connections from other hosts. */
  std::string address;
  /** Whether the sender is a control host too. */
  bool isControlHost{ false };
  /** Incarnation of the receiver that `receivedVersion` refers to; zero if no
   * update has been received from it. */
  Incarnation source;
  /** Version of the receiver's claims up to which the sender has received them.
   * */
  std::uint64_t receivedVersion{};

  bool operator==(const Subscribe&) const = default;
};

/** @brief Claims of a control host that changed since a version. */
struct Update
{
  Incarnation source;
  /** Version that the claims are relative to; zero if all claims are included.
   * */
  std::uint64_t base{};
  std::uint64_t version{};
  std::vector<Claim> claims;
  /** Control hosts that the sender can reach, itself included. */
  std::vector<ControlHost> controls;
  /** Number of the newest configuration that the sender has. */
  ChangeNumber configuration;

  bool operator==(const Update&) const = default;
};

/** @brief Messages that hosts exchange about servers. */
using Message = std::variant<Subscribe, Update>;

} // namespace balsampoint::roster
