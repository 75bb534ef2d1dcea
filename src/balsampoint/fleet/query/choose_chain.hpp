#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/fleet/state.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <tl/expected.hpp>

namespace balsampoint::fleet {

/** @brief What a request needs of a chain. */
struct Demand
{
  ServiceId service;
  /** Tokens of the prompt and of the answer expected. */
  double promptTokens{};
  double answerTokens{};
  /** Servers that have failed the request. */
  std::set<ServerId> failed;
  /** The servers to which it may be sent; empty for any. */
  std::set<ServerId> receivers;
  /** A random number that spreads requests over servers alike; absent for the
   * cheapest chain. */
  std::optional<std::uint64_t> draw;
};

/**
 * @brief Finds the chain with the shortest predicted time.
 *
 * The time of a server grows with the work on it, so that requests spread over
 * servers with the same layers. What other hosts have sent meanwhile isn't
 * known yet, so each draw also weighs the servers a little differently.
 * @param aState State to read.
 * @param aDemand What is needed.
 * @param aNow The time.
 * @return The chain, or `ErrorKind::NoServer` when some layer is held by no
 * server with room.
 */
[[nodiscard]] tl::expected<Chain, Error>
ChooseChain(const State& aState, const Demand& aDemand, Instant aNow);

} // namespace balsampoint::fleet
