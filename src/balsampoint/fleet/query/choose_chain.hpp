#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/fleet/candidate.hpp"
#include "balsampoint/fleet/state.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <tl/expected.hpp>
#include <vector>

namespace balsampoint::fleet {

/** @brief Requirements of a request on its chain. */
struct Demand
{
  ServiceId service;
  /** Number of tokens of the prompt and of the expected answer. */
  double promptTokens{};
  double answerTokens{};
  /** Servers on which an earlier attempt of the request failed. */
  std::set<ServerId> failed;
  /** Servers that may be the first of the chain; empty for any. */
  std::set<ServerId> receivers;
  /** Random number that spreads requests over servers of similar cost; absent
   * to choose the cheapest chain. */
  std::optional<std::uint64_t> randomSample;
  /** Highest fill level of a server's KV that the request may use; at most
   * `Settings::maxKvFraction` has an effect. */
  double kvFraction{ kMaxKvFraction };
};

/**
 * @brief Tokens for which a request reserves KV.
 * @param aSettings Part of the answer that counts.
 * @param aDemand The request.
 */
[[nodiscard]] inline double
TokensOf(const Settings& aSettings, const Demand& aDemand)
{
  return aDemand.promptTokens + aSettings.answerFraction * aDemand.answerTokens;
}

/**
 * @brief Finds the chain with the shortest predicted time per event.
 *
 * The predicted time of a server grows with the work on it, so that requests
 * spread over servers with the same layers. Work that other hosts have sent
 * since their last report isn't known yet; the random weight of each server
 * keeps hosts from all choosing the same one. It varies more the fuller a
 * server is, since hosts that fill the same room at once are rejected there.
 * @param aState State to read.
 * @param aDemand Requirements of the request.
 * @param aNow Current time.
 * @return The chain, or `ErrorKind::NoServer` if no usable server with
 * enough capacity holds some layer.
 */
[[nodiscard]] tl::expected<Chain, Error>
ChooseChain(const State& aState, const Demand& aDemand, Instant aNow);

/**
 * @brief Describes each engine of a service as `ChooseChain` sees it with the
 * same arguments.
 * @param aState State to read.
 * @param aDemand Requirements of the request.
 * @param aNow Current time.
 */
[[nodiscard]] std::vector<Candidate>
DescribeEngines(const State& aState, const Demand& aDemand, Instant aNow);

} // namespace balsampoint::fleet
