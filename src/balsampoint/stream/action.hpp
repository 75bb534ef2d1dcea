#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/core/time.hpp"
#include "balsampoint/route/chain.hpp"
#include "balsampoint/stream/call.hpp"

#include <string>
#include <variant>
#include <vector>

namespace balsampoint::stream {

/** @brief Server that a call is sent to, and the deadline for its reply. */
struct Target
{
  ServerId server;
  Incarnation incarnation;
  /** IP number and port. */
  std::string address;
  Instant deadline{ kNever };
};

/** @brief Sends a step to a server; the result is `StepReplied` or
 * `CallFailed`. */
struct CallStep
{
  Target target;
  StepCall call;
};

/** @brief Sends a replay to a server; the result is `ReplayReplied` or
 * `CallFailed`. */
struct CallReplay
{
  Target target;
  ReplayCall call;
};

/** @brief Sends an import to a server; the result is `Imported` or
 * `CallFailed`. */
struct CallImport
{
  Target target;
  ImportCall call;
};

/** @brief Chooses servers for a layer range; the result is `RouteChosen`. */
struct ChooseRoute
{
  LayerRange layers;
  /** Servers that may not be chosen. */
  std::vector<route::ExcludedServer> excluded;
  /** Zones to use only when the range can't be covered without them. */
  std::vector<ZoneId> avoidedZones;
  /** Time until which to wait for a server that holds the range. */
  Instant until{};
};

/** @brief Sends the text of one token to the caller. */
struct Emit
{
  StepNumber step;
  std::string text;
};

/** @brief Why an answer is complete. */
enum class FinishReason : std::uint8_t
{
  /** The limit on generated tokens is reached. */
  Length,
};

/** @brief The answer is complete. */
struct Finish
{
  FinishReason reason{};
};

/** @brief The answer can't be completed. */
struct Fail
{
  Error error;
};

/** @brief Makes a server drop a request and its KV; the reply is ignored. */
struct CancelAt
{
  Target target;
  RequestId request;
};

/** @brief Action that an answer asks for; actions run in the order given. */
using Action = std::variant<CallStep,
                            CallReplay,
                            CallImport,
                            ChooseRoute,
                            Emit,
                            Finish,
                            Fail,
                            CancelAt>;

} // namespace balsampoint::stream
