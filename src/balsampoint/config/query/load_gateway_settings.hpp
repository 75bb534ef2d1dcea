#pragma once

#include "balsampoint/config/gateway_settings.hpp"
#include "balsampoint/config/problem.hpp"

#include <filesystem>
#include <tl/expected.hpp>

namespace balsampoint::config {

/**
 * @brief Reads and checks the settings of a gateway.
 * @param aFile The YAML file.
 * @return The settings, or every problem found.
 */
[[nodiscard]] tl::expected<GatewaySettings, Problems>
LoadGatewaySettings(const std::filesystem::path& aFile);

} // namespace balsampoint::config
