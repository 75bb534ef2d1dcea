#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/core/time.hpp"
#include "balsampoint/fleet/command/track_work.hpp"
#include "balsampoint/forward/decision.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace balsampoint::exchange {

/** @brief Timers of a request. */
enum class TimerName : std::uint8_t
{
  /** `DeadlinePassed`. */
  Deadline,
  /** `RetryTime`. */
  Retry,
  /** `ResumeTime`. */
  Resume,
  /** `LinkSilenceTime`. */
  LinkSilence,
};

/** @brief Starts a timer, replacing an earlier setting. */
struct SetTimer
{
  TimerName timer{};
  Duration after{};
};

/** @brief Stops all timers. */
struct ClearTimers
{};

/** @brief Counts the request for the budget of retries. */
struct CountRequest
{};

/** @brief Chooses and reserves servers; the result is `ServersChosen` or
 * `NoServers`. */
struct ChooseServers
{};

/** @brief Puts the request into the queue for capacity, or back into the place
 * that it has kept; the result is `QueueTurn` or `QueueRefused`. */
struct EnterQueue
{
  /** Why no servers were found; `QueueRefused` returns it. */
  Error error;
};

/** @brief Removes the request from the queue. */
struct LeaveQueue
{
  /** Whether its place is kept for a search: until servers are chosen, it
   * enters the queue again, or it ends. */
  bool keepsPlace{ false };
};

/** @brief Opens a connection to the first server; the result is `Connected` or
 * `ConnectionLost`. */
struct Connect
{};

/** @brief Sends the request. */
struct SendRequest
{
  /** Time left to the deadline. */
  Duration remaining{};
};

/** @brief Drops the connection that broke and opens another one to its server;
 * the result is `BreakProbed`. */
struct ProbeServer
{};

/** @brief Checks the link to the servers; the result is `LinkChecked`. */
struct CheckLink
{};

/** @brief Reports that a direct connection was answered. */
struct ConfirmLink
{};

/** @brief Reports that a direct connection could not be established. */
struct SuspectLink
{};

/** @brief Follows what the response says of its server. */
struct FollowStatements
{};

/** @brief Records the outcome of the attempt for the choice of servers. */
struct RecordOutcome
{
  fleet::RequestOutcome outcome{};
  /** Address of the server; empty for the one that received the request. */
  std::string address;
};

/** @brief Records that the request and its prompt crash no server. */
struct RecordCompletion
{};

/** @brief Logs a response, or a part of it, that is not the answer. */
struct LogDiscarded
{
  std::string_view reason;
};

/** @brief Skips a response or, while it is incomplete, what was read of it. */
struct SkipAnswer
{};

/** @brief Reads events from the response; the result is `EventsRead`. */
struct ReadEvents
{};

/** @brief Reads the complete body; the result is `BodyRead`. */
struct ReadBody
{};

/** @brief Sends the head of a stream to the caller. */
struct BeginAnswer
{};

/** @brief Sends the events of the last `ReadEvents` to the caller. */
struct SendEvents
{};

/** @brief Ends a stream to the caller. */
struct EndStream
{};

/** @brief Keeps the response of the last `ReadBody` beyond its attempt. */
struct KeepAnswer
{};

/** @brief Sends the response of the attempt in progress, or else the one that
 * is kept, to the caller. */
struct ForwardAnswer
{};

/** @brief Logs the end of an attempt. */
struct LogAttempt
{
  forward::AttemptEnd end{};
  std::string_view reason;
  /** Address or id of the server at fault; empty if unknown. */
  std::string atFault;
};

/** @brief Closes the connection of the attempt and releases its servers. */
struct ReleaseServers
{};

/** @brief Counts a stream that another server continues. */
struct CountRecovery
{};

/** @brief Sends an error to the caller. */
struct SendRefusal
{
  Error error;
  /** Whether to add the time after which a retry may succeed. */
  bool addRetryAfter{ false };
};

/** @brief Resets the caller's connection, since the answer is incomplete. */
struct CutAnswer
{};

/** @brief Counts a caller that has disconnected. */
struct CountCallerGone
{};

/** @brief Logs the end of the request. */
struct LogEnd
{
  std::string_view outcome;
};

/** @brief Nothing follows. */
struct Finish
{};

/** @brief Action that a request asks for; actions run in the order given. */
using Action = std::variant<SetTimer,
                            ClearTimers,
                            CountRequest,
                            ChooseServers,
                            EnterQueue,
                            LeaveQueue,
                            Connect,
                            SendRequest,
                            ProbeServer,
                            CheckLink,
                            ConfirmLink,
                            SuspectLink,
                            FollowStatements,
                            RecordOutcome,
                            RecordCompletion,
                            LogDiscarded,
                            SkipAnswer,
                            ReadEvents,
                            ReadBody,
                            BeginAnswer,
                            SendEvents,
                            EndStream,
                            KeepAnswer,
                            ForwardAnswer,
                            LogAttempt,
                            ReleaseServers,
                            CountRecovery,
                            SendRefusal,
                            CutAnswer,
                            CountCallerGone,
                            LogEnd,
                            Finish>;

} // namespace balsampoint::exchange
