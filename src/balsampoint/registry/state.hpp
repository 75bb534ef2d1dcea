#pragma once

#include "balsampoint/registry/settings.hpp"
#include "balsampoint/registry/view.hpp"

#include <compare>
#include <cstdint>
#include <map>

namespace balsampoint::registry {

/** @brief Orders what hosts say of one server; the highest is in force. */
struct Stamp
{
  Incarnation incarnation;
  /** Rises with each change within one incarnation. */
  std::uint64_t version{};

  auto operator<=>(const Stamp&) const = default;
};

/** @brief What is known of one server. */
struct Record
{
  Announcement announcement;
  Stamp stamp;
  /** False once the lease ran out; then only the stamp counts. */
  bool live{ true };
  /** When the lease ends, or for a lost server when it is forgotten. */
  Instant expiry{};
  /** When its load was reported, by this host's clock. */
  Instant reportedAt{};
};

/** @brief The registry of one host. */
struct State
{
  Settings settings;
  std::map<ServerId, Record> records;
  /** Layers of each configured model. */
  std::map<ModelId, std::uint32_t> modelLayers;
  /** When the next view is due; `kNever` if nothing changed. */
  Instant publishAt{ kNever };
};

} // namespace balsampoint::registry
