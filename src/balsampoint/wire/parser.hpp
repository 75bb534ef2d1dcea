#pragma once

#include "balsampoint/wire/chunk_framing.hpp"
#include "balsampoint/wire/head.hpp"

#include <cstddef>
#include <cstdint>
#include <http_parser.h>
#include <string>
#include <string_view>

namespace balsampoint::wire {

/** @brief Why a message could not be parsed. */
enum class ParseError : std::uint8_t
{
  None,
  Malformed,
  HeadTooLarge,
  BodyTooLarge,
};

/** @brief Size limits of one message, in bytes. */
struct MessageLimits
{
  std::size_t headBytes{ 65536 };
  std::uint64_t bodyBytes{ 64ULL * 1024 * 1024 };
};

/** @brief Kind of message that a parser reads. */
enum class MessageKind : std::uint8_t
{
  Request,
  Response,
};

/**
 * @brief Incremental parser of HTTP/1.1 messages, one at a time.
 *
 * The head is buffered until it is complete. It is rejected unless each line
 * ends with CR LF, has a name without spaces and isn't folded, and unless the
 * length of the body is unambiguous, and a chunked body unless its chunks end
 * where their sizes say. The body is available as it arrives. A response whose
 * status is none ends with its head.
 */
class Parser
{
public:
  /**
   * @brief Makes a parser that expects the start of a message.
   * @param aKind Kind of the messages.
   * @param aLimits Size limits of each message.
   */
  explicit Parser(MessageKind aKind, MessageLimits aLimits = {});

  Parser(const Parser&) = delete;
  Parser& operator=(const Parser&) = delete;
  Parser(Parser&&) = delete;
  Parser& operator=(Parser&&) = delete;
  ~Parser() = default;

  /** @brief Resets the parser for the next message. */
  void Restart();

  /**
   * @brief Sets the size limits of the messages that follow.
   * @param aLimits Size limits.
   */
  void SetLimits(MessageLimits aLimits) { mLimits = aLimits; }

  /** @brief Declares that the next response has no body, as for `HEAD`. */
  void ExpectNoBody() { mNoBody = true; }

  /**
   * @brief Parses bytes up to the end of the message.
   * @param aBytes Received bytes.
   * @return Number of bytes consumed: fewer than given if the message ended
   * before, or none after an error.
   */
  std::size_t Read(std::string_view aBytes);

  /** @brief Processes the end of the connection, which completes a response
   * without a length and is an error otherwise. */
  void ReadEof();

  /**
   * @brief Processes a reset of the connection by a server that has not read
   * the body of the request.
   *
   * Completes a 4xx response without a length, whose status stands in its head.
   * What there is of its body is dropped, as nothing tells whether it is whole.
   * For any other incomplete message it is an error.
   */
  void ReadReset();

  /** @brief Why parsing failed; `None` if it has not. */
  [[nodiscard]] ParseError Error() const noexcept { return mError; }

  /** @brief Whether the head is complete. */
  [[nodiscard]] bool HasHead() const noexcept { return mHasHead; }

  /** @brief Whether the message is complete. */
  [[nodiscard]] bool Complete() const noexcept { return mComplete; }

  /** @brief Whether a part of the current message was read. */
  [[nodiscard]] bool Started() const noexcept
  {
    return mHasHead || !mHead.empty();
  }

  /** @brief Head of the request; valid once `HasHead`. */
  [[nodiscard]] RequestHead& Request() noexcept { return mRequest; }

  /** @brief Head of the response; valid once `HasHead`. */
  [[nodiscard]] ResponseHead& Response() noexcept { return mResponse; }

  /** @brief Head of the response; valid once `HasHead`. */
  [[nodiscard]] const ResponseHead& Response() const noexcept
  {
    return mResponse;
  }

  /** @brief Removes and returns the part of the body that is buffered. */
  [[nodiscard]] std::string TakeBody();

  /** @brief Number of buffered bytes of the body. */
  [[nodiscard]] std::size_t BodySize() const noexcept { return mBody.size(); }

  /** @brief Number of bytes of the body that were read so far. */
  [[nodiscard]] std::uint64_t BodyRead() const noexcept { return mBodyRead; }

  /** @brief Bytes that are allocated for the head while it is read. */
  [[nodiscard]] std::size_t HeadCapacity() const noexcept
  {
    return mHead.capacity();
  }

  /** @brief Bytes that are allocated for the body. */
  [[nodiscard]] std::size_t BodyCapacity() const noexcept
  {
    return mBody.capacity();
  }

private:
  std::size_t ReadHead(std::string_view aBytes);
  void ParseHead();
  std::size_t ReadBody(std::string_view aBytes);
  /** Adds to the buffered body. */
  void AppendBody(std::string_view aBytes);
  /** Reads a request's target or a response's status and reason; false if the
   * line is none of a message. */
  [[nodiscard]] bool ReadStartLine(std::string_view aLine);
  std::size_t Execute(std::string_view aBytes);
  void FinishHead();
  /** Whether the status of a response says that it has no body, whatever length
   * its head gives. */
  [[nodiscard]] bool HasStatusWithoutBody() const;
  /** Whether the version of the message defines how it is framed. */
  [[nodiscard]] bool HasKnownFraming() const;

  static http_parser_settings MakeCallbacks();
  static Parser& Self(http_parser* aParser);
  static int OnBody(http_parser* aParser, const char* aAt, std::size_t aSize);
  static int OnHeadersComplete(http_parser* aParser);
  static int OnMessageComplete(http_parser* aParser);

  MessageKind mKind;
  MessageLimits mLimits;
  http_parser mParser{};
  std::string mHead;
  RequestHead mRequest;
  ResponseHead mResponse;
  std::string mBody;
  std::uint64_t mBodyRead{};
  ChunkFraming mChunks;
  ParseError mError{ ParseError::None };
  bool mHasHead{ false };
  bool mComplete{ false };
  bool mNoBody{ false };
};

} // namespace balsampoint::wire
