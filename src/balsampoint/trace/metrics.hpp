#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/core/time.hpp"

#include <array>
#include <cstdint>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>
#include <string_view>
#include <vector>

namespace balsampoint::trace {

/** @brief How a request ended. */
enum class Outcome : std::uint8_t
{
  Complete,
  Refused,
  Broken,
  CallerGone,
};

/** @brief Lengths of time that are kept as histograms. */
enum class Timing : std::uint8_t
{
  FirstToken,
  BetweenTokens,
  QueueWait,
  Request,
};

/** @brief Figures of the host's own state. */
enum class Level : std::uint8_t
{
  LiveServers,
  ChangeNumber,
  DroppedSpans,
  DroppedLines,
  ServersReachable,
  DetourConnections,
  RequestsWaiting,
  HeldBytes,
  PausedConnections,
};

/** @brief Events that are only counted. */
enum class Count : std::uint8_t
{
  Recoveries,
  Tokens,
  ServersLeaving,
  ServersBackedOff,
  AnswersDiscarded,
  RateLimitsNamed,
  RequestsWaited,
  MemoryRefusals,
  MemoryCuts,
};

/** @brief Why a request that found no room was refused; only for services with
 * several urgencies. */
enum class RoomRefusal : std::uint8_t
{
  /** Room was not expected before it would miss its target. */
  TooLate,
  /** The queue was full. */
  QueueFull,
  /** It waited, and found none in time. */
  Expired,
  /** It has no target for a first event, so it does not wait. */
  NoTarget,
};

/**
 * @brief The figures of one host, for Prometheus.
 *
 * All functions may be called on any thread and wait for no I/O. Labels are
 * from closed lists, so that the number of series is fixed.
 */
class Metrics
{
public:
  Metrics();

  /**
   * @brief Counts a request that ended.
   * @param aOutcome How it ended.
   */
  void Add(Outcome aOutcome);

  /**
   * @brief Counts a refusal or failure by its kind.
   * @param aKind The kind.
   */
  void Add(ErrorKind aKind);

  /**
   * @brief Counts events.
   * @param aCount What happened.
   * @param aTimes How often.
   */
  void Add(Count aCount, std::uint64_t aTimes = 1);

  /**
   * @brief Counts a request that was refused because it found no room.
   * @param aRefusal Why it did not wait, or no longer did.
   */
  void Add(RoomRefusal aRefusal);

  /**
   * @brief Sets the level of KV that requests of an urgency may use.
   * @param aRank Number of more urgent kinds; the last rank stands for all
   * others as well.
   * @param aLevel Lowest fill level of all services, from 0 to 1.
   */
  void SetAdmissionLevel(std::size_t aRank, double aLevel);

  /** @brief Number of ranks of urgency that have a level of their own. */
  static constexpr std::size_t kLevelRanks = 4;

  /**
   * @brief Records a length of time.
   * @param aTiming What took it.
   * @param aDuration The length.
   */
  void Record(Timing aTiming, Duration aDuration);

  /**
   * @brief Sets a figure of the host's state.
   * @param aLevel Which.
   * @param aValue Its value.
   */
  void Set(Level aLevel, double aValue);

  /** @brief All figures in the text format of Prometheus. */
  [[nodiscard]] std::string Text() const;

private:
  void RegisterAdmission();

  prometheus::Registry mRegistry;
  std::vector<prometheus::Counter*> mOutcomes;
  std::vector<prometheus::Counter*> mErrors;
  std::vector<prometheus::Counter*> mCounts;
  std::vector<prometheus::Histogram*> mTimings;
  std::vector<prometheus::Gauge*> mLevels;
  std::vector<prometheus::Counter*> mRoomRefusals;
  std::vector<prometheus::Gauge*> mAdmissionLevels;
};

} // namespace balsampoint::trace
