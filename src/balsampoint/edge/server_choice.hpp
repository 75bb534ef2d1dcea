#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/edge/dialect.hpp"
#include "balsampoint/edge/traffic_state.hpp"
#include "balsampoint/fleet/candidate.hpp"
#include "balsampoint/fleet/chain.hpp"
#include "balsampoint/fleet/query/choose_chain.hpp"
#include "balsampoint/routing/document.hpp"

#include <cstdint>
#include <set>
#include <tl/expected.hpp>
#include <vector>

namespace balsampoint::edge {

/** @brief Restrictions on the choice of servers for a request. */
struct ServerRestrictions
{
  /** Servers to avoid: an earlier attempt failed there. */
  const std::set<ServerId>& failed;
  /** Servers that the request may be sent to; empty for any. */
  const std::set<ServerId>& receivers;
  /** Highest fill level of the KV that the request may use. */
  double kvFraction{ fleet::kMaxKvFraction };
};

/**
 * @brief Tokens of a request to a service with engines.
 * @param aService The service.
 * @param aParameters Parameters of the request; without numbers of tokens, the
 * means of the engine profile apply.
 * @return Requirements without restrictions on the choice.
 */
[[nodiscard]] fleet::Demand
MakeDemand(const routing::Service& aService,
           const RequestParameters& aParameters);

/**
 * @brief Finds the servers for an attempt without counting the choice.
 * @param aFleet The servers.
 * @param aService Service to call.
 * @param aParameters Parameters of the request.
 * @param aRestrictions Restrictions on the choice; failed servers are excluded.
 * @param aSample Random number of the choice.
 * @param aNow Current time.
 * @return The chain, of one server for services without an engine profile, or
 * `ErrorKind::NoServer`.
 */
[[nodiscard]] tl::expected<fleet::Chain, Error>
FindServers(const fleet::State& aFleet,
            const routing::Service& aService,
            const RequestParameters& aParameters,
            const ServerRestrictions& aRestrictions,
            std::uint64_t aSample,
            Instant aNow);

/**
 * @brief Describes each server of a service as a choice sees it.
 * @param aFleet The servers.
 * @param aService Service to call.
 * @param aParameters Parameters of the request.
 * @param aRestrictions Restrictions on the choice.
 * @param aSample Random number of the choice.
 * @param aNow Current time.
 */
[[nodiscard]] std::vector<fleet::Candidate>
DescribeServers(const fleet::State& aFleet,
                const routing::Service& aService,
                const RequestParameters& aParameters,
                const ServerRestrictions& aRestrictions,
                std::uint64_t aSample,
                Instant aNow);

/**
 * @brief Chooses the servers for an attempt; servers that failed an earlier
 * attempt are used only if no others are available.
 * @param aTraffic State of the traffic thread.
 * @param aService Service to call.
 * @param aParameters Parameters of the request.
 * @param aRestrictions Restrictions on the choice.
 * @return The chain, of one server for services without an engine profile, or
 * `ErrorKind::NoServer`.
 */
[[nodiscard]] tl::expected<fleet::Chain, Error>
ChooseServers(TrafficState& aTraffic,
              const routing::Service& aService,
              const RequestParameters& aParameters,
              const ServerRestrictions& aRestrictions);

/**
 * @brief Whether a chain without the failed servers has room for a request.
 * @param aTraffic State of the traffic thread.
 * @param aService Service to call.
 * @param aParameters Parameters of the request.
 * @param aRestrictions Restrictions on the choice; failed servers are excluded.
 * @return False also for services without an engine profile.
 */
[[nodiscard]] bool
OtherChainHasRoom(TrafficState& aTraffic,
                  const routing::Service& aService,
                  const RequestParameters& aParameters,
                  const ServerRestrictions& aRestrictions);

/**
 * @brief Whether another incarnation of a server than the one that was chosen
 * is announced at its address.
 * @param aTraffic State of the traffic thread.
 * @param aServer The server, as chosen.
 */
[[nodiscard]] bool
HasRestarted(const TrafficState& aTraffic, const fleet::Hop& aServer);

} // namespace balsampoint::edge
