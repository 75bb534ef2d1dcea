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
enum class Loss : std::uint8_t
{
  /** No connection, or it broke before the reply. */
  ConnectionLost,
  /** No reply by the call's deadline. */
  DeadlinePassed,
  /** The server answered that it won't or can't do it. */
  Refused,
};

/** @brief A call ended without a reply that counts. */
struct CallFailed
{
  CallId id;
  Loss loss{};
  Error error;
};

/** @brief The lease of a server ended, or it restarted. */
struct ServerGone
{
  ServerId server;
  /** The restart that is gone. */
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

/** @brief The request's deadline is over. */
struct DeadlinePassed
{};

/** @brief What one answer can learn. */
using Event = std::variant<StepReplied,
                           ReplayReplied,
                           Imported,
                           CallFailed,
                           ServerGone,
                           RouteChosen,
                           CallerGone,
                           DeadlinePassed>;

} // namespace balsampoint::stream
