#pragma once

#include "balsampoint/route/state.hpp"

#include <string>

namespace balsampoint::fake {

/** @brief A ready server of the test pipeline. */
inline registry::Server
Holder(const std::string& aName,
       LayerRange aLayers,
       const std::string& aZone = "a",
       double aLayerTokensPerSecond = 100)
{
  registry::Announcement announcement{ .server = ServerId{ aName },
                                       .incarnation = Incarnation{ 1 },
                                       .address = aName,
                                       .zone = ZoneId{ aZone },
                                       .layerTokensPerSecond =
                                         aLayerTokensPerSecond };
  announcement.holdings.push_back({ .model = ModelId{ "verse" },
                                    .version = "1",
                                    .layers = aLayers,
                                    .modelLayers = 12 });
  return { .announcement = announcement };
}

/** @brief The test pipeline of 12 layers. */
inline config::Pipeline
Verse()
{
  return { .model = ModelId{ "verse" },
           .version = "1",
           .layers = 12,
           .activationBytes = 1000 };
}

} // namespace balsampoint::fake
