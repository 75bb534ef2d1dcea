#pragma once

#include "balsampoint/edge/dialect.hpp"
#include "balsampoint/edge/traffic_state.hpp"
#include "balsampoint/exchange/server_break.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace balsampoint::edge {

/**
 * @brief Adds what other hosts know of requests and prompt parts that crash
 * servers.
 * @param aTraffic State of the traffic thread.
 * @param aReports Reports of the other hosts.
 * @param aHosts Entry hosts, this one included.
 */
void
MergeSuspects(TrafficState& aTraffic,
              std::span<const quarantine::SuspectReport> aReports,
              std::uint32_t aHosts);

using exchange::ServerBreak;

/** @brief What happens to servers under one request. */
class CrashWatch
{
public:
  /** @brief Watches nothing. */
  CrashWatch() = default;

  /**
   * @brief Watches a request.
   * @param aFingerprint Hash of what identifies equal requests.
   * @param aParts Shared parts of its prompt.
   */
  CrashWatch(const std::string& aFingerprint,
             std::span<const PromptPartId> aParts);

  /**
   * @brief Admits the request unless it, or its prompt, is in quarantine or in
   * doubt.
   * @param aTraffic State of the traffic thread.
   * @return Nothing, or the error that the request is refused with.
   */
  [[nodiscard]] tl::expected<void, Error> Admit(TrafficState& aTraffic) const;

  /**
   * @brief Records that a server broke the connection of an attempt.
   * @param aTraffic State of the traffic thread.
   * @param aServer The server.
   * @param aBreak How it broke.
   */
  void OnServerBroke(TrafficState& aTraffic,
                     const fleet::Hop& aServer,
                     ServerBreak aBreak);

  /**
   * @brief Records that events of an attempt have arrived. The first ones prove
   * nothing yet, since a server may crash while it writes them; later ones
   * prove that the prompt is sound.
   * @param aTraffic State of the traffic thread.
   */
  void OnEvents(TrafficState& aTraffic);

  /**
   * @brief Records that the answer is complete.
   * @param aTraffic State of the traffic thread.
   */
  void OnComplete(TrafficState& aTraffic) const;

  /** @brief Starts the next attempt. */
  void Restart()
  {
    mEventBatches = 0;
    mCrashedAtStart = false;
  }

  /**
   * @brief Whether another server may be given the request from its beginning.
   * @param aTraffic State of the traffic thread.
   */
  [[nodiscard]] bool MayRetry(const TrafficState& aTraffic) const;

  /** @brief Whether another server may continue the answer. */
  [[nodiscard]] bool MayResume() const;

  /**
   * @brief Whether a retry has to wait until the hosts have told each other
   * which requests came again: a server has crashed before it began an answer,
   * and no other reason is known.
   * @param aTraffic State of the traffic thread.
   */
  [[nodiscard]] bool MustWait(const TrafficState& aTraffic) const;

  /**
   * @brief Whether the request may be sent again after that wait.
   * @param aTraffic State of the traffic thread.
   */
  [[nodiscard]] bool MayRepeat(const TrafficState& aTraffic) const;

  /**
   * @brief Whether the request, or its prompt, is in quarantine.
   * @param aTraffic State of the traffic thread.
   */
  [[nodiscard]] bool InQuarantine(const TrafficState& aTraffic) const;

private:
  /** The shared parts of the prompt among what is watched. */
  [[nodiscard]] std::span<const quarantine::SuspectId> Parts() const;
  /** The request itself, as a list of one. */
  [[nodiscard]] std::span<const quarantine::SuspectId> Request() const;

  /** The request, then the shared parts of its prompt. */
  std::vector<quarantine::SuspectId> mIds;
  std::uint32_t mEventBatches{};
  /** Attempts that a server broke before any event: by a crash, or under a
   * prompt that may be at fault. */
  std::uint32_t mBrokenAtStart{};
  /** Attempts that ended with the crash of a server. */
  std::uint32_t mCrashes{};
  /** Whether the attempt ended with a crash before any event. */
  bool mCrashedAtStart{ false };
};

} // namespace balsampoint::edge
