#pragma once

#include "balsampoint/config/gateway_settings.hpp"
#include "balsampoint/daemon/first_state.hpp"
#include "balsampoint/edge/server_connection.hpp"
#include "balsampoint/fleet/state.hpp"
#include "balsampoint/forward/retry_budget.hpp"

namespace balsampoint::daemon {

/**
 * @brief The identity of a gateway towards its peers.
 * @param aSettings The host's settings.
 */
[[nodiscard]] peer::Identity
IdentityOf(const config::GatewaySettings& aSettings);

/**
 * @brief The settings of the control modules that follow from a gateway's.
 *
 * Hosts are named by their IP numbers, so that a seed's address names it too.
 * @param aSettings The host's settings.
 */
[[nodiscard]] config::Settings
ControlSettingsOf(const config::GatewaySettings& aSettings);

/**
 * @brief How the control group of gateways is tuned.
 * @param aSettings The host's settings.
 * @param aIdentity This host.
 */
[[nodiscard]] ControlTuning
TuningOf(const config::GatewaySettings& aSettings,
         const peer::Identity& aIdentity);

/**
 * @brief This host's part of the retries that all hosts may make.
 * @param aSettings The host's settings.
 */
[[nodiscard]] forward::RetryAllowance
AllowanceOf(const config::GatewaySettings& aSettings);

/**
 * @brief Connections of callers that the host's descriptors allow.
 * @param aSettings The host's settings.
 */
[[nodiscard]] std::size_t
MaxCallers(const config::GatewaySettings& aSettings);

} // namespace balsampoint::daemon
