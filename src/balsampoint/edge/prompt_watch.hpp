#pragma once

#include "balsampoint/edge/dialect.hpp"
#include "balsampoint/edge/traffic_state.hpp"

#include <cstdint>
#include <span>
#include <tl/expected.hpp>

namespace balsampoint::edge {

/**
 * @brief Admits a request unless its prompt is in quarantine.
 * @param aTraffic State of the traffic thread.
 * @param aParameters Parameters of the request.
 * @return Nothing, or the error that the request is refused with.
 */
[[nodiscard]] tl::expected<void, Error>
AdmitPrompt(TrafficState& aTraffic, const RequestParameters& aParameters);

/**
 * @brief Adds what other hosts know of prompt parts that crash servers.
 * @param aTraffic State of the traffic thread.
 * @param aReports Reports of the other hosts.
 * @param aHosts Entry hosts, this one included.
 */
void
MergeSuspects(TrafficState& aTraffic,
              std::span<const quarantine::PartReport> aReports,
              std::uint32_t aHosts);

/** @brief What happens to servers under the prompt of one request. */
class PromptWatch
{
public:
  /**
   * @brief Records that the server broke the connection of an attempt.
   * @param aTraffic State of the traffic thread.
   * @param aParameters Parameters of the request.
   * @param aServer The server.
   */
  void OnServerBroke(TrafficState& aTraffic,
                     const RequestParameters& aParameters,
                     const fleet::Hop& aServer);

  /**
   * @brief Records that events of an attempt have arrived. The first ones prove
   * nothing yet, since a server may crash while it writes them.
   * @param aTraffic State of the traffic thread.
   * @param aParameters Parameters of the request.
   */
  void OnEvents(TrafficState& aTraffic, const RequestParameters& aParameters);

  /**
   * @brief Records that the answer is complete.
   * @param aTraffic State of the traffic thread.
   * @param aParameters Parameters of the request.
   */
  static void OnComplete(TrafficState& aTraffic,
                         const RequestParameters& aParameters);

  /** @brief Starts the next attempt. */
  void Restart() { mEventBatches = 0; }

  /**
   * @brief Whether another server may be given the prompt.
   * @param aTraffic State of the traffic thread.
   * @param aParameters Parameters of the request.
   */
  [[nodiscard]] bool MayRetry(const TrafficState& aTraffic,
                              const RequestParameters& aParameters) const;

private:
  std::uint32_t mEventBatches{};
  /** Attempts that a server broke before it wrote an answer. */
  std::uint32_t mBroken{};
};

} // namespace balsampoint::edge
