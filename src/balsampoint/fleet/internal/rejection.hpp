#pragma once

#include "balsampoint/fleet/state.hpp"

namespace balsampoint::fleet::internal {

/**
 * @brief Part of the requests for which a server may be chosen after it has
 * rejected one that its KV had room for, as hosts have reported.
 * @param aSettings Parameters of the choice.
 * @param aServer The server.
 * @param aNow Current time.
 * @return From 0 to 1; 1 if there was no such rejection of late.
 */
[[nodiscard]] double
ChanceAfterRejection(const Settings& aSettings,
                     const Server& aServer,
                     Instant aNow);

/**
 * @brief Fraction of a server's KV that may be reserved, which is less after
 * it has rejected a request for lack of KV, at any host.
 * @param aSettings Parameters of the choice.
 * @param aServer The server.
 * @param aNow Current time.
 */
[[nodiscard]] double
FillLimit(const Settings& aSettings, const Server& aServer, Instant aNow);

} // namespace balsampoint::fleet::internal
