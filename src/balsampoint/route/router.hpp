#pragma once

#include "balsampoint/route/concepts.hpp"

#include <utility>

namespace balsampoint::route {

/**
 * @brief Chooses chains by a policy and counts the requests in flight on them.
 *
 * Not safe for concurrent use; traffic threads share it under a lock.
 * @tparam Policy Chooses the chains.
 * @tparam Random Source of random numbers.
 */
template<typename Policy, RandomSource Random>
  requires RoutePolicy<Policy, Random>
class BasicRouter
{
public:
  /**
   * @brief Makes a router without requests in flight.
   * @param aRandom Source of random numbers.
   */
  explicit BasicRouter(Random aRandom)
    : mRandom{ std::move(aRandom) }
  {
  }

  /**
   * @brief Chooses a chain and counts it as in use.
   * @param aRoutes The pipeline's servers.
   * @param aRequest Requirements of the chain.
   * @param aNow Current time.
   * @return The chain, or `ErrorKind::NoServer`.
   */
  [[nodiscard]] tl::expected<Chain, Error> Choose(const Routes& aRoutes,
                                                  const RouteRequest& aRequest,
                                                  Instant aNow)
  {
    auto chain =
      mPolicy.Choose({ .routes = aRoutes, .inFlight = mInFlight, .now = aNow },
                     aRequest,
                     mRandom);
    if (chain) {
      mInFlight.Add(*chain);
    }
    return chain;
  }

  /**
   * @brief Ends the use of a chain.
   * @param aChain A chain returned by `Choose`.
   */
  void Release(std::span<const Stage> aChain) { mInFlight.Remove(aChain); }

private:
  Random mRandom;
  Policy mPolicy;
  InFlight mInFlight;
};

} // namespace balsampoint::route
