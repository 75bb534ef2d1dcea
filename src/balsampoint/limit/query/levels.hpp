#pragma once

#include "balsampoint/limit/shortage.hpp"

namespace balsampoint::limit {

/**
 * @brief Highest fill level of the KV and minimum share of each urgency.
 *
 * The most urgent requests may use `maxLevel`. A less urgent one leaves the KV
 * that more urgent arrivals need within the horizon, but may always use
 * `minLevel`. The levels depend on demand and capacity only and not on the KV
 * in use: that is known late, and levels that follow it oscillate.
 * @param aSettings Bounds and horizon.
 * @param aDemand KV tokens per second by urgency, of all hosts.
 * @param aCapacity KV tokens that fit into the service's engines.
 * @return A level for each urgency in `aDemand`.
 */
[[nodiscard]] std::map<Urgency, UrgencyLevel>
Levels(const ShortageSettings& aSettings,
       const std::map<Urgency, double>& aDemand,
       double aCapacity);

/**
 * @brief Level that applies to the requests of an urgency.
 * @param aState State to read.
 * @param aService Service of the requests.
 * @param aUrgency Their urgency.
 * @param aNow Current time.
 * @return `maxLevel` if the service has no levels, or only from sums that are
 * too old.
 */
[[nodiscard]] UrgencyLevel
LevelOf(const Shortage& aState,
        const ServiceId& aService,
        Urgency aUrgency,
        Instant aNow);

/** @brief What a request may use. */
struct RequestLevel
{
  /** Highest fill level of the KV. */
  double fraction{};
  /** Whether it is part of the minimum share of its urgency. */
  bool inMinShare{ false };
};

/**
 * @brief Draws the level of a request within the limits of its urgency.
 * @param aSettings Level of the minimum share.
 * @param aLevel Level of its urgency.
 * @param aRequest Id of the request; its hash decides, so that all hosts with
 * the same sums reach the same verdict, and no kind of request is favoured.
 */
[[nodiscard]] RequestLevel
DrawLevel(const ShortageSettings& aSettings,
          const UrgencyLevel& aLevel,
          const RequestId& aRequest);

} // namespace balsampoint::limit
