#pragma once

#include "balsampoint/registry/announcement.hpp"

#include <cstdint>
#include <map>
#include <variant>

namespace balsampoint::registry {

/** @brief A server announced itself to this host; `Answered` follows. */
struct Announced
{
  Ticket ticket;
  Announcement announcement;
};

/** @brief A configuration came into force. */
struct Configured
{
  /** Layers of each configured model. */
  std::map<ModelId, std::uint32_t> modelLayers;
};

/** @brief What the registry reacts to. */
using Event = std::variant<Announced, Configured>;

} // namespace balsampoint::registry
