#pragma once

#include "balsampoint/member/host.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace balsampoint::member {

/** @brief Asks the receiver to answer with `Ack`. */
struct Ping
{
  std::uint64_t sequence{};
  /** Host that started the probe; differs from the sender if the probe is
   * indirect. */
  HostId origin;
  std::vector<Host> updates;
};

/** @brief Asks the receiver to ping a host on behalf of the sender. */
struct PingRequest
{
  std::uint64_t sequence{};
  HostId target;
  std::vector<Host> updates;
};

/** @brief Answers a `Ping`; the host that sent it forwards the answer to
 * `origin`. */
struct Ack
{
  std::uint64_t sequence{};
  HostId origin;
  std::vector<Host> updates;
};

/** @brief Introduces the sender; answered with `Sync`. */
struct Join
{
  Host host;
};

/** @brief Part of the sender's list of hosts. */
struct Sync
{
  std::vector<Host> hosts;
  /** Whether the receiver should answer with its own list. */
  bool reply{ false };
};

/** @brief Hash of the sender's list; answered with `Sync` if the receiver's
 * list differs. */
struct Digest
{
  std::uint64_t hash{};
};

/** @brief Broadcasts changes to the own zone without waiting for a probe. */
struct Updates
{
  std::vector<Host> updates;
};

/** @brief Message between two hosts about the membership. */
using Message =
  std::variant<Ping, PingRequest, Ack, Join, Sync, Digest, Updates>;

} // namespace balsampoint::member
