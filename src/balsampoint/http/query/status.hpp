#pragma once

#include "balsampoint/traffic/world.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace balsampoint::http {

/** @brief Path below which `status` topics are answered. */
inline constexpr std::string_view kStatusPath = "/v1/status/";

/**
 * @brief Writes what is known about a topic.
 * @param aWorld What the host knows.
 * @param aTopic `servers`, `pipelines`, `workspaces` or `control`.
 * @return JSON text, or nothing for an unknown topic.
 */
[[nodiscard]] std::optional<std::string>
EncodeStatus(const traffic::World& aWorld, std::string_view aTopic);

/**
 * @brief Writes the hosts of the cluster.
 * @param aHosts The hosts.
 * @return JSON text.
 */
[[nodiscard]] std::string
EncodeHosts(std::span<const traffic::HostStatus> aHosts);

/**
 * @brief Writes the configuration in force on this host.
 * @param aWorld What the host knows.
 * @return JSON text with `number` and `document`, which is null before the
 * first configuration.
 */
[[nodiscard]] std::string
EncodeConfiguration(const traffic::World& aWorld);

/**
 * @brief Writes the accepted changes that this host knows of.
 * @param aWorld What the host knows.
 * @return JSON text, oldest first.
 */
[[nodiscard]] std::string
EncodeHistory(const traffic::World& aWorld);

} // namespace balsampoint::http
