#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/core/id.hpp"
#include "balsampoint/core/time.hpp"
#include "balsampoint/fleet/chain.hpp"
#include "balsampoint/forward/answer_check.hpp"
#include "balsampoint/forward/body_check.hpp"
#include "balsampoint/routing/document.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace balsampoint::exchange {

/** @brief The request was admitted. */
struct Accepted
{
  routing::RequestKind kind{ routing::RequestKind::NonIdempotent };
  Instant deadline{};
  /** Maximum number of distinct servers that it is sent to. */
  std::uint32_t maxReceivers{};
};

/** @brief The request was not admitted. */
struct Rejected
{
  Error error;
};

/** @brief Result of `ChooseServers`; the first server receives the request. */
struct ServersChosen
{
  std::vector<fleet::Hop> hops;
  /** Whether this host reaches no server, directly or by a detour. */
  bool isolated{ false };
};

/** @brief `ChooseServers` has found none. */
struct NoServers
{
  Error error;
  /** Whether the request may wait in a queue until capacity is free. */
  bool mayQueue{ false };
};

/** @brief A request in the queue is to be tried again. */
struct QueueTurn
{};

/** @brief A request in the queue is refused. */
struct QueueRefused
{
  Error error;
};

/** @brief The connection is established. */
struct Connected
{};

/** @brief The connection could not be established, broke or timed out. */
struct ConnectionLost
{
  /** Whether this host opened it, not another one for it. */
  bool direct{ true };
  /** Whether the host that was to open it is at fault. */
  bool detourFailed{ false };
  /** Whether this host has lost its link to the servers. */
  bool linkDown{ false };
  /** When that link was last lost or regained. */
  Instant linkChangedAt{};
};

/** @brief Result of `ProbeServer`. */
struct BreakProbed
{
  /** Whether the server accepts no other connection. */
  bool refuses{ false };
  /** Whether another host opened the probe. */
  bool probeByDetour{ false };
  /** Whether the server is announced with a later incarnation. */
  bool restarted{ false };
};

/** @brief Result of `CheckLink`. */
struct LinkChecked
{
  /** Whether this host reaches any server. */
  bool reached{ false };
  /** Whether another connection to the server is open. */
  bool serverConnected{ false };
};

/** @brief This host has lost or regained its link, or its detours. */
struct LinkChanged
{
  /** Whether this host opened the connection of the attempt. */
  bool direct{ true };
  /** Whether new connections are opened by other hosts. */
  bool usesDetours{ false };
};

/** @brief Time has passed since the link was lost. */
struct LinkSilenceTime
{
  bool direct{ true };
  /** When the connection last received a byte. */
  Instant lastReadAt{};
};

/** @brief The time to send the request again has come. */
struct RetryTime
{};

/** @brief The time to look for servers that can continue the stream. */
struct ResumeTime
{};

/** @brief The request's deadline has passed. */
struct DeadlinePassed
{};

/** @brief A server no longer accepts connections. */
struct ServerLost
{
  ServerId server;
};

/** @brief Some request or prompt was put into quarantine. */
struct QuarantineChanged
{};

/** @brief A part of a response was read, its head included. */
struct AnswerRead
{
  /** What its head says; `interimBefore` is ignored. */
  forward::AnswerClaims claims;
  /** Whether it is complete. */
  bool complete{ false };
  /** Whether its status is a success. */
  bool success{ false };
  /** Whether the server states that it has not run the request. */
  bool notExecuted{ false };
  /** Address of the server that refused the request; absent if not sent. */
  std::optional<std::string> atFault;
  bool direct{ true };
};

/** @brief Result of `ReadEvents`. */
struct EventsRead
{
  /** Whether there are events that the caller has not received. */
  bool any{ false };
  /** Whether no event is missing or of another answer. */
  bool whole{ true };
  /** Whether the response is complete. */
  bool complete{ false };
  /** Whether an incomplete event is left. */
  bool partial{ false };
  /** Whether the stream has had no event at all. */
  bool empty{ false };
};

/** @brief Result of `ReadBody`. */
struct BodyRead
{
  forward::BodyVerdict verdict{};
  /** HTTP status of the response. */
  std::uint16_t status{};
};

/** @brief The caller has disconnected. */
struct CallerGone
{};

/** @brief Event in the life of a request. */
using Event = std::variant<Accepted,
                           Rejected,
                           ServersChosen,
                           NoServers,
                           QueueTurn,
                           QueueRefused,
                           Connected,
                           ConnectionLost,
                           BreakProbed,
                           LinkChecked,
                           LinkChanged,
                           LinkSilenceTime,
                           RetryTime,
                           ResumeTime,
                           DeadlinePassed,
                           ServerLost,
                           QuarantineChanged,
                           AnswerRead,
                           EventsRead,
                           BodyRead,
                           CallerGone>;

} // namespace balsampoint::exchange
