#pragma once

#include "balsampoint/config/document.hpp"
#include "balsampoint/http/client_pool.hpp"
#include "balsampoint/http/completion_codec.hpp"
#include "balsampoint/http/listener.hpp"
#include "balsampoint/trace/hop.hpp"
#include "balsampoint/traffic/control_gate.hpp"
#include "balsampoint/traffic/world.hpp"

namespace balsampoint::http {

/** @brief What a caller's request was found to be before its work starts. */
struct CallerRequest
{
  RequestId id;
  traffic::ConfigurationPointer configuration;
  /** The caller's workspace; part of the configuration. */
  const config::Workspace* workspace{};
  /** When the caller no longer wants the answer. */
  Instant deadline{ kNever };
  /** Trace and span that the calls for this request belong to. */
  trace::Context trace;
};

/** @brief What commands for callers work with; all outlive them. */
struct CallerServices
{
  traffic::World& world;
  ClientPool& backends;
  traffic::ControlGate& gate;
  trace::Telemetry& telemetry;
  std::uint64_t maxBodyBytes{};
};

/**
 * @brief Runs a completion and writes its answer.
 *
 * Errors before the first token are thrown as `Failure`; later ones end the
 * answer with an error event.
 * @param aServices What to work with.
 * @param aCaller Who asks.
 * @param aKind The call.
 * @param aRequest The request.
 * @param aResponse The answer.
 */
void
RunCompletion(const CallerServices& aServices,
              const CallerRequest& aCaller,
              CompletionKind aKind,
              ServerRequest& aRequest,
              ServerResponse& aResponse);

} // namespace balsampoint::http
