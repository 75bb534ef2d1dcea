#pragma once

#include "balsampoint/core/split_mix.hpp"
#include "balsampoint/quarantine/report.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace balsampoint::quarantine {

/** @brief Parameters of the quarantine. */
struct Settings
{
  /** Crashes that put a part into quarantine if no answer was ever written for
   * it, and otherwise. */
  std::size_t crashes{ 2 };
  std::size_t crashesOfKnownPart{ 3 };
  /** Crashes that are closer together count once: a failure of several servers
   * at once also hits sound requests. */
  Duration separation{ std::chrono::milliseconds{ 100 } };
  /** Age of the first crash before a verdict; by then the hosts have told each
   * other for which parts they saw answers. */
  Duration settleTime{ std::chrono::milliseconds{ 500 } };
  /** Time without a crash or a refused request after which a part is forgotten.
   */
  Duration retention{ std::chrono::minutes{ 10 } };
  /** Time between two requests that all hosts together let through to try
   * whether a part in quarantine still crashes servers. */
  Duration trialInterval{ std::chrono::minutes{ 5 } };
  /** Added to the age of what other hosts report; more than a report takes, so
   * that hosts which repeat each other's reports don't renew them. */
  Duration reportMargin{ std::chrono::seconds{ 2 } };
  std::size_t maxSuspects{ 256 };
  std::size_t maxAnswered{ 4096 };
  std::size_t maxReports{ 64 };
};

/** @brief Crashes since the last answer for one prompt part. */
struct Suspect
{
  std::map<CrashedServer, Instant> crashes;
  Instant activeAt{};

  /** @brief The servers that crashed under the part. */
  [[nodiscard]] std::set<CrashedServer> Servers() const
  {
    std::set<CrashedServer> servers;
    for (const auto& [server, at] : crashes) {
      servers.insert(server);
    }
    return servers;
  }
};

/** @brief When an answer for a prompt part was last written. */
struct Answered
{
  /** To a request of this host; only this is reported to others. */
  Instant here{ Instant::min() };
  /** To a request of any host. */
  Instant anywhere{ Instant::min() };
};

/**
 * @brief Parts under which the same servers crashed; a request that has all of
 * them is refused.
 */
struct Verdict
{
  std::vector<PromptPartId> parts;
  std::size_t crashes{};

  bool operator==(const Verdict&) const = default;
};

/** @brief State of one traffic thread. */
struct State
{
  Settings settings;
  /** Entry hosts that share the trials, this one included. */
  std::uint32_t hosts{ 1 };
  std::map<PromptPartId, Suspect> suspects;
  std::map<PromptPartId, Answered> answered;
  /** Parts that other hosts suspect, by their last reports. */
  std::set<PromptPartId> suspectedElsewhere;
  std::vector<Verdict> verdicts;
  /** Random generator that spreads the trials of the hosts. */
  SplitMix64 random;
  /** When the next request with a part in quarantine may be let through. */
  std::map<PromptPartId, Instant> nextTrials;
};

} // namespace balsampoint::quarantine
