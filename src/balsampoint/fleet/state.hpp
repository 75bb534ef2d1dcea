#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/number.hpp"
#include "balsampoint/core/time.hpp"
#include "balsampoint/fleet/chain.hpp"
#include "balsampoint/fleet/recent_count.hpp"
#include "balsampoint/roster/claim.hpp"
#include "balsampoint/routing/document.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace balsampoint::fleet {

/** @brief Fraction of a server's KV capacity that may be reserved: the rest
 * covers answers that are longer than expected. */
inline constexpr double kMaxKvFraction = 0.95;

/** @brief Parameters of the choice of servers. */
struct Settings
{
  ZoneId zone;
  /** Added to the time per event for each change of zone in a chain, in ms: all
   * transfers between two zones share one link, which saturates easily. */
  double zoneChangeMs{ 60.0 };
  /** Added to the time per event if the first server is in another zone than
   * this host, in ms. */
  double farEntryMs{ 3.0 };
  /** Added to the time per event for each server, in ms. */
  double hopMs{ 0.6 };
  /** Fraction of the expected answer for which KV is reserved; requests in
   * progress have generated half of theirs on average. */
  double answerFraction{ 0.3 };
  /** Fraction of a server's KV capacity that may be reserved. */
  double maxKvFraction{ kMaxKvFraction };
  /** Targets for the first event and for the time between two events, in ms: a
   * wait for earlier prompts costs more, the more of the first target it uses
   * up. The values are those of interactive streams. */
  double firstEventTargetMs{ 500.0 };
  double eventTargetMs{ 250.0 };
  /** Bounds of the time for which a faulty server is avoided; it doubles with
   * each fault. */
  Duration firstAvoidance{ std::chrono::milliseconds{ 500 } };
  Duration longestAvoidance{ std::chrono::seconds{ 8 } };
  /** Bounds of the time for which a server without capacity is avoided; it
   * doubles with each consecutive refusal. */
  Duration fullAvoidance{ std::chrono::milliseconds{ 150 } };
  Duration longestFullAvoidance{ std::chrono::milliseconds{ 1200 } };
  /** Upper bound of the random increase of a server's cost in one choice, as a
   * fraction of the cost: it makes hosts with the same knowledge of the servers
   * choose different chains. */
  double spread{ 0.3 };
  /** Added to that bound for a full server, and by the square of the fill level
   * for others: work that isn't reported yet matters most where little capacity
   * is free. With 4, servers rejected 0.7 % rather than 11 % of requests in
   * `bench_choice` on a heavy load with reports 0.4 s late. */
  double fullSpread{ 4.0 };
  /** Part of the link between two zones that all hosts together may fill, each
   * with an equal share; the transfers pass one after the other, and a prompt
   * holds up the tokens of every stream behind it. */
  double zoneLinkPart{ 0.5 };
  /** Consecutive broken answers after which a server is avoided. */
  std::uint32_t maxBrokenAnswers{ 3 };
  /** Bounds of the time after which a refused request may be retried: within
   * the lower one hosts have exchanged their usage, within the upper one
   * running streams have ended. */
  Duration minRetryAfter{ std::chrono::milliseconds{ 250 } };
  Duration maxRetryAfter{ std::chrono::seconds{ 2 } };
  /** Time after which a request refused by a service without engines may be
   * retried: a few times the usual duration of a call. */
  Duration plainRetryAfter{ std::chrono::milliseconds{ 100 } };
  /** Known fill level of a server's KV up to which a rejection isn't explained
   * by a lack of KV: the server, or one that it passes work on to, is out of
   * service. */
  double shortageFill{ 0.6 };
  /** Time after such a rejection, met by any host, in which no host sends the
   * server requests, and time after which all do so as before. In between they
   * send a growing part of them: dozens of hosts that learn of a lost server
   * each by itself have hundreds of requests rejected before it is announced as
   * silent. */
  Duration rejectionHold{ std::chrono::milliseconds{ 300 } };
  Duration rejectionMemory{ std::chrono::milliseconds{ 1500 } };
  /** A server that rejects a request for lack of KV is filled up to this much
   * less than the known fill level, as a fraction of its KV, and by so much
   * more with each second: answers outgrow what was reserved for them. */
  double fillMargin{ 0.02 };
  double fillRecoveryPerSecond{ 0.05 };
  /** Weight of the newest outcome in the moving average of a server's failure
   * rate. */
  double failureWeight{ 0.15 };
};

/** @brief Work in progress on one server. */
struct Work
{
  /** Requests whose chain includes the server. */
  std::uint32_t passing{};
  /** Requests sent to the server as the first of their chain. */
  std::uint32_t sent{};
  /** KV reserved for these requests, in tokens times layers. */
  double kv{};
  /** Prompts of the requests without a first event, in tokens times layers. */
  double waitingPrompt{};
};

/** @brief Tokens that a request counts for on each server of its chain. */
struct Reservation
{
  /** Tokens for which KV is reserved. */
  double tokens{};
  /** Tokens of the prompt, until the first event. */
  double promptTokens{};
};

/** @brief A request that a server has rejected without running it. */
struct Rejection
{
  Instant at{ Instant::min() };
  /** Part of the server's KV that was known to be reserved. */
  double fill{};
};

/**
 * @brief Part of the prompts reported by other hosts that is expected to wait
 * still: reports are 0.2 to 0.4 s late, and a prompt is usually read in less.
 * Counted in full they delay the first events of short prompts in
 * `bench_choice`, since hosts avoid the same servers.
 */
inline constexpr double kReportedPromptWeight = 0.3;

/** @brief One server, the work on it and its recent faults. */
struct Server
{
  roster::Claim claim;
  /** Whether it may be sent new requests. */
  bool ready{ false };
  /** Whether this incarnation has said in an answer that it is leaving. */
  bool leaving{ false };
  /** Slowdown of decode steps and of prefill against the profile; 1 for servers
   * without a profile. */
  double stepFactor{ 1.0 };
  double readFactor{ 1.0 };
  /** KV capacity beside its layers, in tokens times layers. */
  double kvCapacity{};
  /** Work sent by this thread. */
  Work localWork;
  /** Work sent by other hosts, as last reported. */
  Work remoteWork;
  /** Moving average of the fraction of requests that failed. */
  double failureRate{};
  /** Times it has been avoided since its last complete answer. */
  std::uint32_t avoidances{};
  /** Failed connections since its last event or complete answer. */
  std::uint32_t failedConnections{};
  /** Consecutive refusals for lack of capacity. */
  std::uint32_t refusals{};
  /** Consecutive broken answers. */
  std::uint32_t brokenAnswers{};
  /** This thread's streams that generate output through it. */
  std::uint32_t streams{};
  /** When an event of one of this thread's streams last passed through it. */
  Instant progressAt{ Instant::min() };
  /** Moving average of the time between two events of a stream through it, in
   * ms. */
  double eventMs{ 60.0 };
  /** When a connection was last opened to probe it. */
  Instant probedAt{ Instant::min() };
  Instant avoidUntil{ Instant::min() };
  /** End of the time for which it counts as having no capacity. */
  Instant fullUntil{ Instant::min() };
  /** End of the time for which it counts as unreachable. */
  Instant unreachableUntil{ Instant::min() };
  /** End of the time for which it wants no requests. */
  Instant backOffUntil{ Instant::min() };
  /** Whether it has answered nothing since that time began. */
  bool returning{ false };
  /** Requests per second that it takes from all hosts; absent for no limit. */
  std::optional<double> rateLimit;
  /** When it last said whether it has a limit, to any host. */
  Instant rateStatedAt{ Instant::min() };
  /** Until when other hosts are told that its limit has ended. */
  Instant tellEndUntil{ Instant::min() };
  /** Newest rejection that this host has met, and newest one reported by all
   * hosts. */
  Rejection localRejection;
  Rejection remoteRejection;
  /** When a request through it last had its first event on this host. */
  Instant startedAt{ Instant::min() };
  /** Requests that this thread has sent to it. */
  RecentCount sentRecently;
  /** Requests that other hosts have sent to it in the longest window. */
  std::uint32_t remoteRecent{};

  /**
   * @brief Whether it is avoided for now; a last resort may still use it
   * unless it is also unable.
   */
  [[nodiscard]] bool Avoided(Instant aNow) const noexcept
  {
    return avoidUntil > aNow || Unable(aNow);
  }

  /**
   * @brief Whether a request to it is expected to fail: it has no capacity,
   * is unreachable or wants no requests.
   */
  [[nodiscard]] bool Unable(Instant aNow) const noexcept
  {
    return std::max(fullUntil, unreachableUntil) > aNow || BacksOff(aNow);
  }

  /**
   * @brief Whether it wants no requests from this host, or returns from such a
   * time with a first request that is not answered yet.
   */
  [[nodiscard]] bool BacksOff(Instant aNow) const noexcept
  {
    return backOffUntil > aNow || (returning && localWork.passing > 0);
  }

  /** @brief Newest rejection that any host has met. */
  [[nodiscard]] const Rejection& LastRejection() const noexcept
  {
    return localRejection.at < remoteRejection.at ? remoteRejection
                                                  : localRejection;
  }

  /** @brief Requests of all hosts whose chain includes it. */
  [[nodiscard]] double Passing() const noexcept
  {
    return localWork.passing + remoteWork.passing;
  }

  /** @brief Requests of all hosts sent to it as the first of their chain. */
  [[nodiscard]] double Sent() const noexcept
  {
    return localWork.sent + remoteWork.sent;
  }

  /** @brief KV reserved by all hosts, in tokens times layers. */
  [[nodiscard]] double KvUsed() const noexcept
  {
    return localWork.kv + remoteWork.kv;
  }

  /**
   * @brief Prompts of all hosts that are expected to wait for their first
   * event, in tokens times layers.
   */
  [[nodiscard]] double WaitingPrompt() const noexcept
  {
    return localWork.waitingPrompt +
           kReportedPromptWeight * remoteWork.waitingPrompt;
  }
};

/** @brief Servers of one service, with its engine profile if it has engines. */
struct Group
{
  std::optional<routing::EngineProfile> engine;
  /** Whether the configuration has requests of several priorities compete for
   * the servers (`routing::RequestsCompete`). Only then do waiting prompts,
   * rejections that hosts report and the link between zones count, and does the
   * random weight grow with the fill level. */
  bool competing{ false };
  std::map<ServerId, Server> servers;
  /** When one of this thread's requests last had its first event. */
  Instant lastStartedAt{ Instant::min() };
  /** Choices of servers for requests to the service. */
  RecentCount choices;
  /** Tokens of this thread's requests that pass from one zone to another. */
  RecentCount zoneTokens;
  /** Choices per second of other hosts. */
  double remoteDemand{};
};

/** @brief What one incarnation of a server has said of itself in answers. */
struct Statement
{
  Incarnation incarnation;
  /** Whether it is leaving. */
  bool leaving{ false };
  /** End of the time for which it wants no requests. */
  Instant backOffUntil{ Instant::min() };
  /** Requests per second that it takes from all hosts; absent for no limit. */
  std::optional<double> rateLimit;
  /** When it said so. */
  Instant rateStatedAt{ Instant::min() };
};

/** @brief Servers of all services; owned by one traffic thread. */
struct State
{
  Settings settings;
  /** Entry hosts that send requests to the servers. */
  std::uint32_t hosts{ 1 };
  std::map<ServiceId, Group> groups;
  /** Statements of the servers in the roster; they outlive a configuration
   * without the server's service. */
  std::map<ServerId, Statement> statements;
  /** When the sums of other hosts were last set. */
  Instant remoteUsageAt{ Instant::min() };
};

} // namespace balsampoint::fleet
