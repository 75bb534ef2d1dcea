#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/edge/dialect.hpp"
#include "balsampoint/edge/traffic.hpp"
#include "balsampoint/fleet/chain.hpp"
#include "balsampoint/routing/document.hpp"

#include <set>
#include <tl/expected.hpp>

namespace balsampoint::edge {

/** @brief Servers that a request may and should not go to. */
struct ServerLimits
{
  /** Servers that have failed the request. */
  const std::set<ServerId>& failed;
  /** The only ones that may receive it; empty for any. */
  const std::set<ServerId>& receivers;
};

/**
 * @brief Chooses the servers for an attempt; those that have failed the request
 * are taken again only where no others can be had.
 * @param aTraffic What requests share.
 * @param aService The service.
 * @param aInquiry What the request says.
 * @param aLimits Servers that it may and should not go to.
 * @return The servers, or `ErrorKind::NoServer`.
 */
[[nodiscard]] tl::expected<fleet::Chain, Error>
ChooseServers(Traffic& aTraffic,
              const routing::Service& aService,
              const Inquiry& aInquiry,
              const ServerLimits& aLimits);

/**
 * @brief Whether a chain without the failed servers has room for a request.
 * @param aTraffic What requests share.
 * @param aService The service.
 * @param aInquiry What the request says.
 * @param aLimits Servers that it may and must not go to.
 */
[[nodiscard]] bool
OtherChainHasRoom(Traffic& aTraffic,
                  const routing::Service& aService,
                  const Inquiry& aInquiry,
                  const ServerLimits& aLimits);

} // namespace balsampoint::edge
