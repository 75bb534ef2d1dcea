#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/limit/query/levels.hpp"
#include "balsampoint/limit/shortage.hpp"

#include <cstddef>
#include <map>
#include <optional>

namespace balsampoint::limit {

/** @brief What a request to a service with several urgencies may use now, and
 * whether it would wait for room. */
struct ShortageExplanation
{
  /** Level of its urgency, and the one that applies to the request. */
  UrgencyLevel level;
  RequestLevel requestLevel;
  /** KV tokens per second that all hosts are asked for, by urgency. */
  std::map<Urgency, double> demand;
  /** Age of the other hosts' part of it; absent if none has arrived. */
  std::optional<Duration> sumsAge;
  /** Waiting requests that are served before it. */
  std::size_t waitingBefore{};
  /** Whether a waiting request rules out that it finds room. */
  bool blocked{ false };
  /** Time until this host is expected to find room for a request that finds
   * none now; absent if that can't be told. */
  std::optional<Duration> expectedWait;
  /** Whether it would wait that long rather than be refused. */
  bool wouldWait{ false };
};

/**
 * @brief Explains the admission of a request under shortage.
 * @param aState State to read.
 * @param aService Service of the request.
 * @param aRequest The request; its fill level is determined here.
 * @param aId Id of the request, which draws its level; empty for the highest
 * level outside the minimum share.
 * @param aNow Current time.
 * @return Absent for services to which reservation and waiting don't apply.
 */
[[nodiscard]] std::optional<ShortageExplanation>
Explain(const Shortage& aState,
        const ServiceId& aService,
        WaitRequest aRequest,
        const RequestId& aId,
        Instant aNow);

} // namespace balsampoint::limit
