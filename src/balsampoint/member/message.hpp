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
  /** The host that wants to know; the sender unless it is an indirect one. */
  HostId origin;
  std::vector<Host> updates;
};

/** @brief Asks the receiver to ping a host for the sender. */
struct PingRequest
{
  std::uint64_t sequence{};
  HostId target;
  std::vector<Host> updates;
};

/** @brief Answers a ping, by way of the host that sent it. */
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

/** @brief What the sender holds of many hosts. */
struct Sync
{
  std::vector<Host> hosts;
  /** Whether the receiver shall answer with its own list. */
  bool reply{ false };
};

/** @brief Compares the lists of two hosts; answered with `Sync` if unlike. */
struct Digest
{
  std::uint64_t hash{};
};

/** @brief Changes that can't wait for the next probe. */
struct News
{
  std::vector<Host> updates;
};

/** @brief What hosts tell each other about hosts. */
using Message = std::variant<Ping, PingRequest, Ack, Join, Sync, Digest, News>;

} // namespace balsampoint::member
