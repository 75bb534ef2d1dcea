#include "balsampoint/http/command/run_completion.hpp"

#include "balsampoint/http/answer_sink.hpp"
#include "balsampoint/http/engine_client.hpp"
#include "balsampoint/http/problem.hpp"
#include "balsampoint/runtime/steady_clock.hpp"
#include "balsampoint/traffic/command/run_stream.hpp"
#include "balsampoint/traffic/table_route.hpp"

#include <algorithm>

namespace balsampoint::http {

namespace {

using runtime::SteadyClock;

template<typename Value>
Value
OrThrow(tl::expected<Value, Error> aResult)
{
  if (!aResult) {
    throw Failure{ aResult.error() };
  }
  return std::move(*aResult);
}

const config::Pipeline&
FindPipeline(const CallerRequest& aCaller, const PipelineId& aId)
{
  const auto& pipelines = aCaller.configuration->document.pipelines;
  const auto found = pipelines.find(aId);
  if (found == pipelines.end()) {
    throw Failure{ MakeError(ErrorKind::UnknownPipeline,
                             "no pipeline '" + aId.String() + "'") };
  }
  const auto& allowed = aCaller.workspace->pipelines;
  if (!allowed.empty() && !allowed.contains(aId)) {
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

template<traffic::AnswerSink Sink>
void
Run(const CallerServices& aServices,
    const CallerRequest& aCaller,
    const config::Pipeline& aPipeline,
    Completion& aCompletion,
    Sink& aSink)
{
  EngineClient client{ aServices.backends, aCaller.traceParent };
  traffic::TableRoute chooser{ aServices.world, aPipeline };
  traffic::BasicStreamRun run{ client, chooser, aSink, SteadyClock{} };
  run.Run(MakeRequest(aCaller, aPipeline, aCompletion), stream::Settings{});
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
  const CompletionWriter writer{ aCaller.id, completion };
  if (completion.stream) {
    EventSink sink{ aRequest, aResponse, writer };
    Run(aServices, aCaller, pipeline, completion, sink);
    return;
  }
  DocumentSink sink{ aRequest, aResponse, writer };
  Run(aServices, aCaller, pipeline, completion, sink);
}

} // namespace balsampoint::http
