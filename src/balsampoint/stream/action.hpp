#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/core/time.hpp"
#include "balsampoint/route/chain.hpp"
#include "balsampoint/stream/call.hpp"

#include <string>
#include <variant>
#include <vector>

namespace balsampoint::stream {

/** @brief Where a call goes and when it counts as lost. */
struct Target
{
  ServerId server;
  Incarnation incarnation;
  /** IP number and port. */
  std::string address;
  Instant deadline{ kNever };
};

/** @brief Run a step and report `StepReplied` or `CallFailed`. */
struct CallStep
{
  Target target;
  StepCall call;
};

/** @brief Rebuild KV and report `ReplayReplied` or `CallFailed`. */
struct CallReplay
{
  Target target;
  ReplayCall call;
};

/** @brief Copy KV and report `Imported` or `CallFailed`. */
struct CallImport
{
  Target target;
  ImportCall call;
};

/** @brief Choose servers for a range and report `RouteChosen`. */
struct ChooseRoute
{
  LayerRange layers;
  /** Servers that may not be chosen. */
  std::vector<route::ExcludedServer> excluded;
  /** Zones to use only when the range can't be covered without them. */
  std::vector<ZoneId> avoidedZones;
  /** Until when to wait for a server that holds the range. */
  Instant until{};
};

/** @brief Send the text of one token to the caller. */
struct Emit
{
  StepNumber step;
  std::string text;
};

/** @brief Why an answer is complete. */
enum class FinishReason : std::uint8_t
{
  /** It has as many tokens as allowed. */
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

/** @brief Let a server drop the request and its KV; the outcome is unused. */
struct CancelAt
{
  Target target;
  RequestId request;
};

/** @brief What one answer wants done, in this order. */
using Action = std::variant<CallStep,
                            CallReplay,
                            CallImport,
                            ChooseRoute,
                            Emit,
                            Finish,
                            Fail,
                            CancelAt>;

} // namespace balsampoint::stream
