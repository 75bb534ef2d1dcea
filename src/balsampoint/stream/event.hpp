#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/route/chain.hpp"
#include "balsampoint/stream/call.hpp"

#include <variant>

namespace balsampoint::stream {

/** @brief Reply to a `CallStep`. */
struct StepReplied
{
  StepReply reply;
};

/** @brief Reply to a `CallReplay`. */
struct ReplayReplied
{
  ReplayReply reply;
};

/** @brief A `CallImport` succeeded: the target holds the KV. */
struct Imported
{
  CallId id;
};

/** @brief How a call failed. */
enum class FailureKind : std::uint8_t
{
  /** No connection, or it broke before the reply. */
  ConnectionLost,
  /** No reply by the call's deadline. */
  DeadlinePassed,
  /** The server refused the call or could not run it. */
  Refused,
};

/** @brief A call ended without a usable reply. */
struct CallFailed
{
  CallId id;
  FailureKind kind{};
  Error error;
};

/** @brief A server's lease expired or the server restarted. */
struct ServerGone
{
  ServerId server;
  /** The incarnation that ended. */
  Incarnation incarnation;
};

/** @brief Result of a `ChooseRoute`. */
struct RouteChosen
{
  LayerRange layers;
  tl::expected<route::Chain, Error> route;
};

/** @brief The caller closed its connection. */
struct CallerGone
{};

/** @brief The request's deadline has passed. */
struct DeadlinePassed
{};

/** @brief Event that changes the state of an answer. */
using Event = std::variant<StepReplied,
                           ReplayReplied,
                           Imported,
                           CallFailed,
                           ServerGone,
                           RouteChosen,
                           CallerGone,
                           DeadlinePassed>;

} // namespace balsampoint::stream
