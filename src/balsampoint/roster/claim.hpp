#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/layer_range.hpp"
#include "balsampoint/core/number.hpp"
#include "balsampoint/core/time.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace balsampoint::roster {

/**
 * @brief Orders the heartbeats of one server, by incarnation and then by
 * sequence.
 */
struct Stamp
{
  /** Start time of the server process. */
  Incarnation incarnation;
  /** Increases with each heartbeat of one incarnation. */
  std::uint64_t sequence{};

  auto operator<=>(const Stamp&) const = default;
};

/**
 * @brief Availability of a server, from best to worst; comparisons rely on
 * this order.
 */
enum class Presence : std::uint8_t
{
  Ready,
  /** Draining: finishes its requests and accepts no new ones. */
  Leaving,
  /** No heartbeat within the timeout. */
  Silent,
  /** Signed off, or replaced by a newer server at the same address. */
  Gone,
};

/** @brief Properties that a server reports of itself and that seldom change. */
struct Description
{
  ServiceId service;
  /** IP address and port. */
  std::string address;
  ZoneId zone;
  /** Accelerator type; empty for servers that are no engines. */
  std::string accelerator;
  ModelId model;
  std::string modelVersion;
  /** Model layers loaded now; absent if none are. */
  std::optional<LayerRange> layers;
  std::uint32_t slots{ 1 };
  /** Whether it is still warming up after its start. */
  bool cold{ false };

  bool operator==(const Description&) const = default;
};

/** @brief A control host's statement about one server. */
struct Claim
{
  ServerId server;
  Stamp stamp;
  Presence presence{ Presence::Ready };
  Description description;

  bool operator==(const Claim&) const = default;
};

} // namespace balsampoint::roster
