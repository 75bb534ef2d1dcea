#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/core/id.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace balsampoint::http {

/** @brief Which of the two completion calls a request is. */
enum class CompletionKind : std::uint8_t
{
  Text,
  Chat,
};

/** @brief A completion request, free of its encoding. */
struct Completion
{
  CompletionKind kind{};
  PipelineId pipeline;
  std::string prompt;
  bool stream{ false };
  /** Absent when the caller leaves it to the pipeline. */
  std::optional<std::uint32_t> maxTokens;
};

/**
 * @brief Decodes the body of a completion request.
 *
 * The prompt of a chat is each message as `role: content` and a line end.
 * @param aKind The call.
 * @param aBody JSON text.
 * @return The request, or `BadRequest` naming the field.
 */
[[nodiscard]] tl::expected<Completion, Error>
DecodeCompletion(CompletionKind aKind, std::string_view aBody);

/** @brief Writes the documents of one answer. */
class CompletionWriter
{
public:
  /**
   * @brief Starts an answer.
   * @param aRequest The request's id, part of each document.
   * @param aCompletion The request.
   */
  CompletionWriter(RequestId aRequest, const Completion& aCompletion);

  /**
   * @brief One token as a server-sent event.
   * @param aText Text of the token.
   * @return The event with its closing empty line.
   */
  [[nodiscard]] std::string Token(std::string_view aText) const;

  /** @brief The last event of a complete answer and the end mark. */
  [[nodiscard]] std::string Done() const;

  /**
   * @brief The last event of an answer that can't be completed.
   * @param aError Why.
   * @return The event.
   */
  [[nodiscard]] static std::string Broken(const Error& aError);

  /**
   * @brief A whole answer as one document.
   * @param aText All text.
   * @param aTokens Number of tokens.
   * @return JSON text.
   */
  [[nodiscard]] std::string Whole(std::string_view aText,
                                  std::uint64_t aTokens) const;

private:
  [[nodiscard]] std::string Chunk(std::string_view aText,
                                  const char* aFinishReason) const;

  RequestId mRequest;
  PipelineId mPipeline;
  CompletionKind mKind;
};

} // namespace balsampoint::http
