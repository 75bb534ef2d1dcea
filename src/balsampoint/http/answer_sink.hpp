#pragma once

#include "balsampoint/http/completion_codec.hpp"
#include "balsampoint/http/listener.hpp"
#include "balsampoint/stream/action.hpp"

#include <ostream>
#include <string>

namespace balsampoint::http {

/**
 * @brief Whether the caller closed its connection.
 * @param aRequest The caller's request; its body was read.
 * @return Whether nothing can reach the caller any more.
 */
[[nodiscard]] bool
HasHungUp(ServerRequest& aRequest);

/** @brief Sends an answer as server-sent events, each token at once. */
class EventSink
{
public:
  /**
   * @brief Starts an answer; all arguments outlive the sink.
   * @param aRequest The caller's request.
   * @param aResponse The answer.
   * @param aWriter Writes the documents.
   */
  EventSink(ServerRequest& aRequest,
            ServerResponse& aResponse,
            const CompletionWriter& aWriter);

  /**
   * @brief Sends one token.
   * @param aToken The token.
   */
  void Emit(const stream::Emit& aToken);

  /**
   * @brief Ends a complete answer.
   * @param aFinish Why it is complete.
   */
  void Finish(const stream::Finish& aFinish);

  /**
   * @brief Ends an answer that can't be completed.
   * @param aError Why; sent as the whole answer when no token was sent.
   */
  void Fail(const Error& aError);

  /** @brief Whether the caller closed its connection. */
  [[nodiscard]] bool CallerGone();

private:
  void Send(const std::string& aText);

  ServerRequest& mRequest;
  ServerResponse& mResponse;
  const CompletionWriter& mWriter;
  std::ostream* mStream{};
};

/** @brief Collects an answer and sends it whole. */
class DocumentSink
{
public:
  /**
   * @brief Starts an answer; all arguments outlive the sink.
   * @param aRequest The caller's request.
   * @param aResponse The answer.
   * @param aWriter Writes the document.
   */
  DocumentSink(ServerRequest& aRequest,
               ServerResponse& aResponse,
               const CompletionWriter& aWriter);

  /**
   * @brief Keeps one token.
   * @param aToken The token.
   */
  void Emit(const stream::Emit& aToken);

  /**
   * @brief Sends the answer.
   * @param aFinish Why it is complete.
   */
  void Finish(const stream::Finish& aFinish);

  /**
   * @brief Sends a refusal.
   * @param aError Why.
   */
  void Fail(const Error& aError);

  /** @brief Whether the caller closed its connection. */
  [[nodiscard]] bool CallerGone();

private:
  ServerRequest& mRequest;
  ServerResponse& mResponse;
  const CompletionWriter& mWriter;
  std::string mText;
  std::uint64_t mTokens{};
};

} // namespace balsampoint::http
