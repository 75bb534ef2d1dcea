#include "balsampoint/http/command/run_completion.hpp"

#include "balsampoint/http/answer_sink.hpp"
#include "balsampoint/http/engine_client.hpp"
#include "balsampoint/http/internal/or_throw.hpp"
#include "balsampoint/http/problem.hpp"
#include "balsampoint/runtime/steady_clock.hpp"
#include "balsampoint/trace/timed_sink.hpp"
#include "balsampoint/traffic/command/run_stream.hpp"
#include "balsampoint/traffic/table_route.hpp"

#include <algorithm>

namespace balsampoint::http {

namespace {

using internal::OrThrow;
using runtime::SteadyClock;

const config::Pipeline&
FindPipeline(const CallerRequest& aCaller, const PipelineId& aId)
{
  const auto& pipelines = aCaller.configuration->document.pipelines;
  const auto found = pipelines.find(aId);
  if (found == pipelines.end()) {
    throw Failure{ MakeError(ErrorKind::UnknownPipeline,
                             "no pipeline '" + aId.String() + "'") };
  }
  if (!aCaller.workspace->pipelines.Allows(aId)) {
    throw Failure{ MakeError(ErrorKind::Forbidden,
                             "the workspace may not use pipeline '" +
                               aId.String() + "'") };
  }
  return found->second;
}

stream::StreamRequest
MakeRequest(const CallerRequest& aCaller,
            const config::Pipeline& aPipeline,
            Completion& aCompletion)
{
  const auto maxTokens = aCompletion.maxTokens.value_or(aPipeline.maxTokens);
  if (maxTokens > aPipeline.maxTokens) {
    throw Failure{ MakeError(ErrorKind::BadRequest,
                             "max_tokens: the pipeline allows " +
                               std::to_string(aPipeline.maxTokens)) };
  }
  return { .id = aCaller.id,
           .pipeline = aPipeline,
           .prompt = std::move(aCompletion.prompt),
           .maxTokens = maxTokens,
           .deadline =
             std::min(aCaller.deadline, SteadyClock::Now() + aPipeline.timeout),
           .priority = aCaller.workspace->priority };
}

/** Asks for admission of a request with room for its KV. */
limit::Arrived
ArrivalOf(const CallerRequest& aCaller, const stream::StreamRequest& aRequest)
{
  constexpr std::size_t kBytesPerToken = 4;
  return { .workspace = aCaller.workspace->id,
           .kvTokens =
             (aRequest.prompt.size() / kBytesPerToken) + aRequest.maxTokens,
           .deadline = aRequest.deadline };
}

template<traffic::AnswerSink Sink>
void
Run(const CallerServices& aServices,
    const CallerRequest& aCaller,
    stream::StreamRequest aRequest,
    Sink& aSink)
{
  EngineClient client{ aServices.backends, aServices.telemetry, aCaller.trace };
  trace::BasicTimedSink timed{ aSink,
                               aServices.telemetry.metrics,
                               SteadyClock{} };
  traffic::TableRoute chooser{ aServices.world, aRequest.pipeline };
  traffic::BasicStreamRun run{ client, chooser, timed, SteadyClock{} };
  const auto counters = run.Run(aRequest, stream::Settings{});
  aServices.telemetry.metrics.Add(trace::Count::Recoveries,
                                  counters.replays + counters.imports);
}

} // namespace

void
RunCompletion(const CallerServices& aServices,
              const CallerRequest& aCaller,
              CompletionKind aKind,
              ServerRequest& aRequest,
              ServerResponse& aResponse)
{
  const auto body = OrThrow(ReadBody(aRequest, aServices.maxBodyBytes));
  auto completion = OrThrow(DecodeCompletion(aKind, body));
  const auto& pipeline = FindPipeline(aCaller, completion.pipeline);
  auto request = MakeRequest(aCaller, pipeline, completion);
  const auto arrived = SteadyClock::Now();
  const traffic::ControlGate::Pass pass{ aServices.gate,
                                         ArrivalOf(aCaller, request) };
  aServices.telemetry.metrics.Record(trace::Timing::QueueWait,
                                     SteadyClock::Now() - arrived);
  OrThrow(pass.Result());
  const CompletionWriter writer{ aCaller.id, completion };
  if (completion.stream) {
    EventSink sink{ aRequest, aResponse, writer };
    Run(aServices, aCaller, std::move(request), sink);
    return;
  }
  DocumentSink sink{ aRequest, aResponse, writer };
  Run(aServices, aCaller, std::move(request), sink);
}

} // namespace balsampoint::http
