#include "load/answer_source.hpp"

#include "balsampoint/http/client_pool.hpp"
#include "balsampoint/http/engine_client.hpp"
#include "balsampoint/runtime/steady_clock.hpp"
#include "balsampoint/stream/tokenizer.hpp"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <nlohmann/json.hpp>

namespace balsampoint::load {

namespace {

using nlohmann::json;

constexpr Duration kStepTimeout = std::chrono::seconds{ 20 };
constexpr long kAnswerTimeoutSeconds = 60;

/** Reads server-sent events up to the end mark. */
AnswerEnd
ReadEvents(std::istream& aStream, const TokenReader& aRead)
{
  constexpr std::string_view kData = "data: ";
  std::string line;
  while (std::getline(aStream, line)) {
    if (line == "event: error") {
      return AnswerEnd::Broken;
    }
    if (!line.starts_with(kData)) {
      continue;
    }
    if (line.substr(kData.size()) == "[DONE]") {
      return AnswerEnd::Complete;
    }
    const auto event = json::parse(line.substr(kData.size()));
    const auto& choice = event.at("choices").at(0);
    if (choice.at("finish_reason").is_null()) {
      aRead(choice.at("text").get<std::string>());
    }
  }
  return AnswerEnd::Broken;
}

Poco::Net::HTTPRequest
MakeRequest(const Experiment& aExperiment, const std::string& aBody)
{
  Poco::Net::HTTPRequest request{ "POST", "/v1/completions", "HTTP/1.1" };
  request.setContentType("application/json");
  request.setContentLength(static_cast<std::streamsize>(aBody.size()));
  request.set("Authorization", "Bearer " + aExperiment.key);
  return request;
}

/** @brief One answer that the tool generates by itself. */
struct DirectAnswer
{
  const Experiment& experiment;
  RequestId request;
  stream::HashTokenizer tokenizer{};
  std::uint64_t digest{ stream::kEmptyKvDigest };
};

stream::CallStep
MakeStep(const DirectAnswer& aAnswer,
         const DirectStage& aStage,
         std::uint32_t aStep,
         std::uint64_t aInput)
{
  const LayerRange layers{ .begin = aStage.layerBegin, .end = aStage.layerEnd };
  return { .target = { .address = aStage.address,
                       .deadline = runtime::SteadyClock::Now() + kStepTimeout },
           .call = { .id = { .request = aAnswer.request,
                             .step = StepNumber{ aStep },
                             .layers = layers },
                     .model = ModelId{ aAnswer.experiment.model },
                     .version = aAnswer.experiment.version,
                     .start = aAnswer.tokenizer.Start(),
                     .input = aInput,
                     .kvDigest = aAnswer.digest } };
}

} // namespace

AnswerEnd
StreamThroughSystem(const Experiment& aExperiment,
                    std::uint32_t aNumber,
                    const std::string& aPrompt,
                    const TokenReader& aRead)
{
  const json document{ { "model", aExperiment.pipeline },
                       { "prompt", aPrompt },
                       { "max_tokens", aExperiment.tokens },
                       { "stream", true } };
  const auto body = document.dump();
  const Poco::Net::SocketAddress target{
    aExperiment.targets[aNumber % aExperiment.targets.size()]
  };
  try {
    Poco::Net::HTTPClientSession session{ target };
    session.setTimeout(Poco::Timespan{ kAnswerTimeoutSeconds, 0 });
    auto request = MakeRequest(aExperiment, body);
    session.sendRequest(request) << body << std::flush;
    Poco::Net::HTTPResponse response;
    auto& stream = session.receiveResponse(response);
    if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK) {
      return AnswerEnd::Refused;
    }
    return ReadEvents(stream, aRead);
  } catch (const Poco::Exception&) {
    return AnswerEnd::Refused;
  }
}

AnswerEnd
StreamDirectly(const Experiment& aExperiment,
               std::uint32_t aNumber,
               const std::string& aPrompt,
               const TokenReader& aRead)
{
  static http::ClientPool pool;
  static trace::Telemetry telemetry;
  http::EngineClient client{ pool, telemetry, {} };
  DirectAnswer answer{ .experiment = aExperiment,
                       .request =
                         RequestId{ "direct-" + std::to_string(aNumber) } };
  answer.tokenizer.Append(aPrompt);
  for (std::uint32_t step = 0; step < aExperiment.tokens; ++step) {
    const auto start = answer.tokenizer.Start();
    auto hash = start;
    for (const auto& stage : aExperiment.direct) {
      const auto event = client.Run(MakeStep(answer, stage, step, hash));
      const auto* replied = std::get_if<stream::StepReplied>(&event);
      if (replied == nullptr) {
        return AnswerEnd::Broken;
      }
      hash = replied->reply.output;
    }
    answer.digest = stream::ExtendKvDigest(answer.digest, start);
    const auto token = stream::HashTokenizer::Text(hash);
    answer.tokenizer.Append(token);
    aRead(token);
  }
  for (const auto& stage : aExperiment.direct) {
    client.Cancel(
      { .target = { .address = stage.address }, .request = answer.request });
  }
  return AnswerEnd::Complete;
}

} // namespace balsampoint::load
