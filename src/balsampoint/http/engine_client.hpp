#pragma once

#include "balsampoint/http/client_pool.hpp"
#include "balsampoint/stream/action.hpp"
#include "balsampoint/stream/event.hpp"
#include "balsampoint/trace/hop.hpp"

#include <string>

namespace balsampoint::http {

/** @brief Calls model engines by HTTP and JSON. */
class EngineClient
{
public:
  /**
   * @brief Keeps the connections to use.
   * @param aPool Outlives the client.
   * @param aTelemetry Takes a span for each call; outlives the client.
   * @param aTrace Trace and span that the calls belong to.
   */
  EngineClient(ClientPool& aPool,
               trace::Telemetry& aTelemetry,
               const trace::Context& aTrace);

  /**
   * @brief Runs a step and waits for its reply.
   * @param aCall The call with its deadline.
   * @return `StepReplied` or `CallFailed`.
   */
  [[nodiscard]] stream::Event Run(const stream::CallStep& aCall);

  /**
   * @brief Runs a replay and waits for its reply.
   * @param aCall The call with its deadline.
   * @return `ReplayReplied` or `CallFailed`.
   */
  [[nodiscard]] stream::Event Run(const stream::CallReplay& aCall);

  /**
   * @brief Runs an import and waits for its end.
   * @param aCall The call with its deadline.
   * @return `Imported` or `CallFailed`.
   */
  [[nodiscard]] stream::Event Run(const stream::CallImport& aCall);

  /**
   * @brief Tells an engine to drop a request; its answer is not used.
   * @param aCancel The engine and the request.
   */
  void Cancel(const stream::CancelAt& aCancel);

private:
  [[nodiscard]] tl::expected<std::string, stream::CallFailed> Post(
    const stream::Target& aTarget,
    const stream::CallId& aId,
    std::string_view aPath,
    std::string aBody);

  ClientPool& mPool;
  trace::Telemetry& mTelemetry;
  trace::Context mTrace;
};

} // namespace balsampoint::http
