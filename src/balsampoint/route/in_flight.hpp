#pragma once

#include "balsampoint/route/state.hpp"

#include <cstdint>
#include <span>
#include <unordered_map>

namespace balsampoint::route {

/**
 * @brief Counts this host's requests in flight at each server, and estimates
 * the server's load from the count and from the server's delayed load report.
 *
 * Not safe for concurrent use; traffic threads share it under a lock.
 */
class InFlight
{
public:
  /**
   * @brief Counts a request at each server of a chain.
   * @param aChain The chain.
   */
  void Add(std::span<const Stage> aChain);

  /**
   * @brief Removes a request from the count.
   * @param aChain The chain given to `Add`.
   */
  void Remove(std::span<const Stage> aChain);

  /**
   * @brief Estimates the requests in flight at a server.
   *
   * This host's own share of the report is replaced by its current count. The
   * rest, the requests of other hosts, is weighted less as the report ages.
   * @param aNode The server with its load report.
   * @param aNow Current time.
   */
  [[nodiscard]] double Estimate(const Node& aNode, Instant aNow);

private:
  struct ServerCount
  {
    /** This host's requests in flight. */
    std::uint32_t current{};
    /** Value of `current` when the current report was first used. */
    std::uint32_t ownAtReport{};
    Instant reportedAt{};
  };

  std::unordered_map<ServerId, ServerCount> mServers;
};

} // namespace balsampoint::route
