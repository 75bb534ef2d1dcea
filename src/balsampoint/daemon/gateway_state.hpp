#pragma once

#include "balsampoint/change/state.hpp"
#include "balsampoint/change/table.hpp"
#include "balsampoint/config/gateway_settings.hpp"
#include "balsampoint/consensus/entry.hpp"
#include "balsampoint/daemon/first_state.hpp"
#include "balsampoint/edge/caller_connection.hpp"
#include "balsampoint/edge/server_connection.hpp"
#include "balsampoint/fleet/state.hpp"
#include "balsampoint/forward/retry_budget.hpp"
#include "balsampoint/memory/state.hpp"
#include "balsampoint/roster/message.hpp"

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace balsampoint::daemon {

/** @brief Name of the section that holds a configuration's whole text,
 * compressed. */
inline constexpr const char* kWholeText = "document.zlib";

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
 * @brief Addresses of the other members of the control group.
 *
 * The log names its members without addresses. After a start this host may
 * know none of them from its seeds, and they may know none from theirs.
 * @param aSettings The host's settings.
 * @param aMembers The members.
 */
[[nodiscard]] std::vector<roster::HostAddress>
MemberAddresses(const config::GatewaySettings& aSettings,
                const consensus::Membership& aMembers);

/**
 * @brief This host's part of the retries that all hosts may make.
 * @param aSettings The host's settings.
 */
[[nodiscard]] forward::RetryAllowance
AllowanceOf(const config::GatewaySettings& aSettings);

/**
 * @brief What the connections of the traffic thread may hold, by the host's
 * memory and the number of connections.
 * @param aSettings The host's settings.
 */
[[nodiscard]] memory::Settings
MemorySettingsOf(const config::GatewaySettings& aSettings);

/**
 * @brief Size of the kernel's receive buffer of a connection, and of its send
 * buffer, by the host's memory.
 * @param aSettings The host's settings.
 */
[[nodiscard]] std::size_t
SocketBytesOf(const config::GatewaySettings& aSettings);

/**
 * @brief Bytes of incomplete calls of other hosts, by the host's memory.
 * @param aSettings The host's settings.
 */
[[nodiscard]] std::size_t
PeerBytesOf(const config::GatewaySettings& aSettings);

/**
 * @brief Limits of the connections of callers before a configuration.
 * @param aSettings The host's settings.
 * @param aMemory Account of the bytes that connections hold; null for none.
 */
[[nodiscard]] edge::CallerConnectionLimits
CallerLimitsOf(const config::GatewaySettings& aSettings,
               edge::MemoryAccount* aMemory);

/**
 * @brief Limits of the connections of operators and servers.
 * @param aSettings The host's settings.
 * @param aMemory Account of the bytes that connections hold; null for none.
 */
[[nodiscard]] edge::CallerConnectionLimits
ControlLimitsOf(const config::GatewaySettings& aSettings,
                edge::MemoryAccount* aMemory);

/**
 * @brief Limits of the connections to servers, by the host's memory.
 * @param aSettings The host's settings.
 * @param aMemory Account of the bytes that connections hold; null for none.
 */
[[nodiscard]] edge::ServerConnectionLimits
ServerLimitsOf(const config::GatewaySettings& aSettings,
               edge::MemoryAccount* aMemory);

/**
 * @brief Connections of operators and servers that the host's descriptors
 * allow.
 * @param aSettings The host's settings.
 */
[[nodiscard]] std::size_t
MaxControlConnections(const config::GatewaySettings& aSettings);

/**
 * @brief Connections of callers that the host's descriptors allow.
 * @param aSettings The host's settings.
 */
[[nodiscard]] std::size_t
MaxCallers(const config::GatewaySettings& aSettings);

/**
 * @brief Connections to servers that the host opens for others at a time.
 * @param aSettings The host's settings.
 */
[[nodiscard]] std::size_t
MaxDetourConnections(const config::GatewaySettings& aSettings);

/**
 * @brief A configuration as a change of the control state; the same text under
 * the same number is the same change.
 * @param aNumber Its number.
 * @param aText Its whole text.
 */
[[nodiscard]] change::Change
ChangeOf(ChangeNumber aNumber, std::string_view aText);

/**
 * @brief The whole text of a configuration.
 * @param aSections The configuration's sections.
 * @return The text, or `ErrorKind::InvalidConfiguration`.
 */
[[nodiscard]] tl::expected<std::string, Error>
TextOf(const change::Sections& aSections);

} // namespace balsampoint::daemon
