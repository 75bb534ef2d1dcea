#include "balsampoint/http/completion_codec.hpp"

#include "balsampoint/http/internal/json_field.hpp"
#include "balsampoint/http/problem.hpp"

#include <utility>

namespace balsampoint::http {

namespace {

using internal::Json;

constexpr std::string_view kFinishReason = "length";

[[noreturn]] void
Reject(const std::string& aDetail)
{
  throw Failure{ MakeError(ErrorKind::BadRequest, aDetail) };
}

std::string
ReadPrompt(const Json& aDocument)
{
  const auto& prompt = aDocument.at("prompt");
  if (!prompt.is_string()) {
    Reject("prompt: must be a string");
  }
  return prompt.get<std::string>();
}

std::string
ReadMessages(const Json& aDocument)
{
  const auto& messages = aDocument.at("messages");
  if (!messages.is_array() || messages.empty()) {
    Reject("messages: must be a list with at least one message");
  }
  std::string prompt;
  for (const auto& message : messages) {
    prompt += message.at("role").get<std::string>();
    prompt += ": ";
    prompt += message.at("content").get<std::string>();
    prompt += '\n';
  }
  return prompt;
}

std::optional<std::uint32_t>
ReadMaxTokens(const Json& aDocument)
{
  constexpr std::uint64_t kLimit = 1'000'000;
  const auto found = aDocument.find("max_tokens");
  if (found == aDocument.end() || found->is_null()) {
    return std::nullopt;
  }
  if (!found->is_number_unsigned() || *found == 0 || *found > kLimit) {
    Reject("max_tokens: must be a whole number from 1 to 1000000");
  }
  return found->get<std::uint32_t>();
}

void
CheckTemperature(const Json& aDocument)
{
  const auto found = aDocument.find("temperature");
  if (found == aDocument.end() || found->is_null()) {
    return;
  }
  if (!found->is_number() || found->get<double>() != 0.0) {
    Reject("temperature: only 0 is supported");
  }
}

} // namespace

tl::expected<Completion, Error>
DecodeCompletion(CompletionKind aKind, std::string_view aBody)
{
  return internal::Parse(aBody, [aKind](const Json& aDocument) {
    if (!aDocument.is_object()) {
      Reject("the body must be a JSON object");
    }
    CheckTemperature(aDocument);
    const bool chat = aKind == CompletionKind::Chat;
    return Completion{
      .kind = aKind,
      .pipeline = PipelineId{ aDocument.at("model").get<std::string>() },
      .prompt = chat ? ReadMessages(aDocument) : ReadPrompt(aDocument),
      .stream = aDocument.value("stream", false),
      .maxTokens = ReadMaxTokens(aDocument),
    };
  });
}

CompletionWriter::CompletionWriter(RequestId aRequest,
                                   const Completion& aCompletion)
  : mRequest{ std::move(aRequest) }
  , mPipeline{ aCompletion.pipeline }
  , mKind{ aCompletion.kind }
{
}

std::string
CompletionWriter::Token(std::string_view aText) const
{
  return Chunk(aText, nullptr);
}

std::string
CompletionWriter::Done() const
{
  return Chunk({}, kFinishReason.data()) + "data: [DONE]\n\n";
}

std::string
CompletionWriter::Chunk(std::string_view aText, const char* aFinishReason) const
{
  Json choice{ { "index", 0 }, { "finish_reason", nullptr } };
  if (aFinishReason != nullptr) {
    choice["finish_reason"] = aFinishReason;
  }
  const bool chat = mKind == CompletionKind::Chat;
  if (chat) {
    choice["delta"] = { { "content", aText } };
  } else {
    choice["text"] = aText;
  }
  const Json document{ { "id", mRequest.String() },
                       { "object",
                         chat ? "chat.completion.chunk" : "text_completion" },
                       { "model", mPipeline.String() },
                       { "choices", Json::array({ std::move(choice) }) } };
  return "data: " + document.dump() + "\n\n";
}

std::string
CompletionWriter::Broken(const Error& aError)
{
  return "event: error\ndata: " + EncodeProblem(aError) + "\n\n";
}

std::string
CompletionWriter::Whole(std::string_view aText, std::uint64_t aTokens) const
{
  Json choice{ { "index", 0 }, { "finish_reason", kFinishReason } };
  if (mKind == CompletionKind::Chat) {
    choice["message"] = { { "role", "assistant" }, { "content", aText } };
  } else {
    choice["text"] = aText;
  }
  const Json document{ { "id", mRequest.String() },
                       { "object",
                         mKind == CompletionKind::Chat ? "chat.completion"
                                                       : "text_completion" },
                       { "model", mPipeline.String() },
                       { "choices", Json::array({ std::move(choice) }) },
                       { "usage", { { "completion_tokens", aTokens } } } };
  return document.dump();
}

} // namespace balsampoint::http
