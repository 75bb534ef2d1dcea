#pragma once

#include "balsampoint/roster/claim.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace balsampoint::roster {

/** @brief A control host and where other hosts reach it. */
struct ControlHost
{
  HostId host;
  /** IP number and port. */
  std::string address;

  auto operator<=>(const ControlHost&) const = default;
};

/** @brief Asks a control host for what it hears; sent again as a heartbeat. */
struct Subscribe
{
  /** Where the sender listens for other hosts. */
  std::string address;
  /** Whether the sender is a control host too. */
  bool hears{ false };
  /** Incarnation of the receiver that `have` counts; zero for none. */
  Incarnation source;
  /** Version of the receiver's claims that the sender has. */
  std::uint64_t have{};

  bool operator==(const Subscribe&) const = default;
};

/** @brief Claims of a control host that changed after a version. */
struct Update
{
  Incarnation source;
  /** Version that the claims follow on; zero for all claims. */
  std::uint64_t base{};
  std::uint64_t version{};
  std::vector<Claim> claims;
  /** Control hosts that the sender hears, itself included. */
  std::vector<ControlHost> controls;
  /** Newest configuration that the sender has. */
  ChangeNumber configuration;

  bool operator==(const Update&) const = default;
};

/** @brief What hosts tell each other about servers. */
using Message = std::variant<Subscribe, Update>;

} // namespace balsampoint::roster
