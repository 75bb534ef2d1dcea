#pragma once

#include "balsampoint/route/state.hpp"

#include <cstdint>
#include <span>
#include <unordered_map>

namespace balsampoint::route {

/**
 * @brief Counts this host's requests in progress at each server and estimates
 * the server's load from them and from its late report.
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
   * @brief Ends the count of a request.
   * @param aChain The chain that was added.
   */
  void Remove(std::span<const Stage> aChain);

  /**
   * @brief Estimates the requests in progress at a server.
   *
   * The report is replaced in the part that is this host's own by the count of
   * now. What it says of other hosts' requests counts less as it ages.
   * @param aNode The server with its report.
   * @param aNow The time.
   */
  [[nodiscard]] double Estimate(const Node& aNode, Instant aNow);

private:
  struct Work
  {
    std::uint32_t now{};
    /** Own requests when the last report came in. */
    std::uint32_t atReport{};
    Instant reportedAt{};
  };

  std::unordered_map<ServerId, Work> mServers;
};

} // namespace balsampoint::route
