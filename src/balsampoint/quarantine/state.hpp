#pragma once

#include "balsampoint/core/split_mix.hpp"
#include "balsampoint/quarantine/answered_requests.hpp"
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
  /** Crashes that put a suspect into quarantine if no answer was ever written
   * for it or begun before a crash, and otherwise. */
  std::size_t crashes{ 2 };
  std::size_t crashesOfAnswered{ 3 };
  /** Crashes that are closer together count once: a failure of several servers
   * at once also hits sound requests. */
  Duration separation{ std::chrono::milliseconds{ 100 } };
  /** Age of the first crash before a verdict; by then the hosts have told each
   * other for which suspects they saw answers. */
  Duration settleTime{ std::chrono::milliseconds{ 500 } };
  /** Time without a crash or a refused request after which a suspect is
   * forgotten. */
  Duration retention{ std::chrono::minutes{ 10 } };
  /** Time between two requests that all hosts together let through to try
   * whether a suspect in quarantine still crashes servers. */
  Duration trialInterval{ std::chrono::minutes{ 5 } };
  /** Time for which a request that was never answered is refused after a server
   * has crashed under it; each host adds up to as much at random. A crashed
   * server is in use again by then. */
  Duration doubtTime{ std::chrono::seconds{ 10 } };
  /** Time after a crash until its requests are sent to another server; by then
   * the hosts know which of them have come again. */
  Duration repeatDelay{ std::chrono::milliseconds{ 700 } };
  /** Time for which the first crash under a request is reported. */
  Duration reportTime{ std::chrono::seconds{ 3 } };
  /** Added to the age of what other hosts report; more than a report takes, so
   * that hosts which repeat each other's reports don't renew them. */
  Duration reportMargin{ std::chrono::seconds{ 2 } };
  std::size_t maxSuspects{ 256 };
  std::size_t maxAnswered{ 4096 };
  std::size_t maxReports{ 64 };
};

/** @brief Crashes since the last answer for one suspect. */
struct Suspect
{
  std::map<CrashedServer, Instant> crashes;
  Instant activeAt{};
  /** Whether an answer had begun before each of the crashes. */
  bool answersBegan{ true };
  /** Whether the request arrived again before an answer to it. */
  bool cameAgain{ false };
  /** End of the time for which a request is refused after one crash. */
  Instant doubtedUntil{ Instant::min() };

  /** @brief The servers that crashed under the suspect. */
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
 * @brief Suspects under which the same servers crashed; a request that has all
 * of them is refused.
 */
struct Verdict
{
  std::vector<SuspectId> suspects;
  std::size_t crashes{};

  bool operator==(const Verdict&) const = default;
};

/** @brief State of one traffic thread. */
struct State
{
  Settings settings;
  /** Entry hosts that share the trials, this one included. */
  std::uint32_t hosts{ 1 };
  std::map<SuspectId, Suspect> suspects;
  /** Prompt parts that were answered. */
  std::map<SuspectId, Answered> answered;
  /** Requests that were answered. */
  AnsweredRequests answeredRequests;
  /** When servers were last seen to crash by this host. */
  std::map<CrashedServer, Instant> crashedServers;
  /** Suspects of other hosts, by their last reports. */
  std::set<SuspectId> suspectedElsewhere;
  std::vector<Verdict> verdicts;
  /** Random generator that spreads the trials of the hosts. */
  SplitMix64 random;
  /** When the next request with a suspect in quarantine may be let through. */
  std::map<SuspectId, Instant> nextTrials;
};

} // namespace balsampoint::quarantine
