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

/** @brief Orders what one server says of itself. */
struct Stamp
{
  /** Time of its start. */
  Incarnation born;
  /** Rises with each heartbeat of one incarnation. */
  std::uint64_t sequence{};

  auto operator<=>(const Stamp&) const = default;
};

/** @brief Whether a server is there and takes work; later ones are worse. */
enum class Presence : std::uint8_t
{
  Ready,
  /** Finishes what it has and takes no new work. */
  Leaving,
  /** No heartbeat for longer than the limit. */
  Silent,
  /** Has signed off. */
  Gone,
};

/** @brief What a server says of itself that seldom changes. */
struct Description
{
  ServiceId service;
  /** IP number and port. */
  std::string address;
  ZoneId zone;
  /** Kind of its accelerator; empty for plain servers. */
  std::string accelerator;
  ModelId model;
  std::string modelVersion;
  /** Layers that it holds now; absent for none. */
  std::optional<LayerRange> layers;
  std::uint32_t slots{ 1 };
  /** Whether it is still slow after its start. */
  bool cold{ false };

  bool operator==(const Description&) const = default;
};

/** @brief What a control host says of one server. */
struct Claim
{
  ServerId server;
  Stamp stamp;
  Presence presence{ Presence::Ready };
  Description description;

  bool operator==(const Claim&) const = default;
};

} // namespace balsampoint::roster
