#pragma once

#include "balsampoint/registry/state.hpp"

namespace balsampoint::registry {

/** @brief A registry of zone `colombo-a`. */
inline State
ColomboState()
{
  return { .settings = { .self = HostId{ "h1" },
                         .zone = ZoneId{ "colombo-a" } } };
}

/** @brief A valid announcement of an engine in `colombo-a`. */
inline Announcement
Engine(std::string_view aId, std::uint64_t aIncarnation = 1)
{
  return { .server = ServerId{ std::string{ aId } },
           .incarnation = Incarnation{ aIncarnation },
           .address = "127.0.0.1:9000",
           .zone = ZoneId{ "colombo-a" },
           .acceleratorKind = "a10",
           .layerTokensPerSecond = 4000.0,
           .holdings = { { .model = ModelId{ "verse" },
                           .version = "1",
                           .layers = { .begin = 0, .end = 16 },
                           .modelLayers = 32 } },
           .kvCapacityTokens = 100000 };
}

} // namespace balsampoint::registry
