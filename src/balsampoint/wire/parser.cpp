#include "balsampoint/wire/parser.hpp"

#include "balsampoint/wire/field_syntax.hpp"
#include "balsampoint/wire/status_line.hpp"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

namespace balsampoint::wire {

namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kProtocol = "HTTP/";
constexpr int kFirstStatusWithBody = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

/**
 * @brief Removes the first line from a text.
 * @param aRest Text; set to what follows the line.
 * @return The line without its CR LF.
 */
std::string_view
TakeLine(std::string_view& aRest)
{
  const auto end = aRest.find(kLineEnd);
  const auto line = aRest.substr(0, end);
  aRest = end == std::string_view::npos ? std::string_view{}
                                        : aRest.substr(end + kLineEnd.size());
  return line;
}

bool
IsLength(std::string_view aText)
{
  std::uint64_t length{};
  const auto* last = aText.data() + aText.size();
  const auto [end, status] = std::from_chars(aText.data(), last, length);
  return status == std::errc{} && end == last;
}

/** @brief Whether the fields give at most one valid length or encoding of the
 * body, so that no two parsers can disagree on where it ends. */
bool
HasUnambiguousLength(const Fields& aFields)
{
  const auto lengths = aFields.Count("Content-Length");
  const auto encodings = aFields.Count("Transfer-Encoding");
  if (lengths + encodings > 1) {
    return false;
  }
  if (encodings == 1) {
    return EqualsIgnoreCase(aFields.Find("Transfer-Encoding").value_or(""),
                            "chunked");
  }
  return lengths == 0 || IsLength(aFields.Find("Content-Length").value_or(""));
}

/**
 * @brief Parses the lines of header fields.
 * @param aLines Lines that end with CR LF.
 * @param aFields Receives the fields.
 * @return Whether each line is a token, a colon and a valid value.
 */
bool
ReadFields(std::string_view aLines, Fields& aFields)
{
  while (!aLines.empty()) {
    const auto line = TakeLine(aLines);
    if (!IsField(line)) {
      return false;
    }
    const auto colon = line.find(':');
    aFields.Add(line.substr(0, colon), Trim(line.substr(colon + 1)));
  }
  return true;
}

} // namespace

Parser::Parser(MessageKind aKind, MessageLimits aLimits)
  : mKind{ aKind }
  , mLimits{ aLimits }
{
  Restart();
}

void
Parser::Restart()
{
  http_parser_init(
    &mParser, mKind == MessageKind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
  mParser.data = this;
  std::string{}.swap(mHead);
  mRequest = {};
  mResponse = {};
  // Clearing would keep the memory of a large body.
  std::string{}.swap(mBody);
  mBodyRead = 0;
  mChunks = {};
  mError = ParseError::None;
  mHasHead = false;
  mComplete = false;
  mNoBody = false;
}

std::size_t
Parser::Read(std::string_view aBytes)
{
  if (mError != ParseError::None || mComplete) {
    return 0;
  }
  std::size_t used = 0;
  if (!mHasHead) {
    used = ReadHead(aBytes);
    if (!mHasHead || mError != ParseError::None || mComplete) {
      return used;
    }
  }
  return used + ReadBody(aBytes.substr(used));
}

void
Parser::ReadEof()
{
  if (mError != ParseError::None || mComplete) {
    return;
  }
  if (mHasHead && mResponse.endsByClose) {
    mComplete = true;
    return;
  }
  mError = ParseError::Malformed;
}

void
Parser::ReadReset()
{
  if (mError != ParseError::None || mComplete) {
    return;
  }
  if (mHasHead && mResponse.endsByClose && mResponse.ClientError()) {
    std::string{}.swap(mBody);
    mComplete = true;
    return;
  }
  mError = ParseError::Malformed;
}

std::string
Parser::TakeBody()
{
  return std::exchange(mBody, {});
}

std::size_t
Parser::ReadHead(std::string_view aBytes)
{
  const auto before = mHead.size();
  std::size_t skipped = 0;
  // Empty lines before a request are skipped, as RFC 9112 recommends.
  if (mKind == MessageKind::Request && before == 0) {
    while (aBytes.substr(skipped).starts_with(kLineEnd)) {
      skipped += kLineEnd.size();
    }
    aBytes.remove_prefix(skipped);
  }
  const auto room = mLimits.headBytes + kHeadEnd.size() - before;
  const auto taken = aBytes.substr(0, std::min(aBytes.size(), room));
  mHead += taken;
  const auto from = before < kHeadEnd.size() ? 0 : before - kHeadEnd.size() + 1;
  const auto end = mHead.find(kHeadEnd, from);
  if (end == std::string::npos) {
    const auto lineFeed = mHead.find('\n', from);
    const bool bare = lineFeed != std::string::npos &&
                      (lineFeed == 0 || mHead[lineFeed - 1] != '\r');
    if (bare) {
      mError = ParseError::Malformed;
    } else if (taken.size() < aBytes.size()) {
      mError = ParseError::HeadTooLarge;
    }
    return skipped + taken.size();
  }
  const auto size = end + kHeadEnd.size();
  mHead.resize(size);
  ParseHead();
  return skipped + size - before;
}

void
Parser::ParseHead()
{
  std::string_view rest{ mHead };
  rest.remove_suffix(kLineEnd.size());
  const auto first = TakeLine(rest);
  if (!IsFieldText(first) || !ReadStartLine(first)) {
    mError = ParseError::Malformed;
    return;
  }
  auto& fields =
    mKind == MessageKind::Request ? mRequest.fields : mResponse.fields;
  if (!ReadFields(rest, fields)) {
    mError = ParseError::Malformed;
    return;
  }
  // A head that breaks off is continued by the next response on the connection.
  const bool mixed = mKind == MessageKind::Response &&
                     FindStatusLine(mHead, 1) != std::string::npos;
  if (mixed || !HasUnambiguousLength(fields)) {
    mError = ParseError::Malformed;
    return;
  }
  const auto head = std::move(mHead);
  mHead.clear();
  if (mKind == MessageKind::Response && !mResponse.HasStatus()) {
    // Nothing defines where such a response ends.
    mResponse.keepAlive = false;
    mHasHead = true;
    mComplete = true;
    return;
  }
  Execute(head);
  if (mError == ParseError::None && !mHasHead) {
    mError = ParseError::Malformed;
  }
}

bool
Parser::ReadStartLine(std::string_view aLine)
{
  const auto space = aLine.find(' ');
  if (space == std::string_view::npos) {
    return false;
  }
  const auto last = aLine.find(' ', space + 1);
  const auto middle = aLine.substr(space + 1, last - space - 1);
  if (mKind == MessageKind::Request) {
    mRequest.target = middle;
    return true;
  }
  mResponse.status = ReadStatus(middle);
  if (last != std::string_view::npos) {
    mResponse.reason = aLine.substr(last + 1);
  }
  return aLine.starts_with(kProtocol);
}

std::size_t
Parser::ReadBody(std::string_view aBytes)
{
  const auto used = Execute(aBytes);
  const bool chunked = (mParser.flags & F_CHUNKED) != 0U;
  if (mError == ParseError::None && chunked &&
      !mChunks.Check(aBytes.substr(0, used))) {
    mError = ParseError::Malformed;
    mComplete = false;
  }
  return used;
}

std::size_t
Parser::Execute(std::string_view aBytes)
{
  if (aBytes.empty() && mHasHead) {
    return 0;
  }
  static const auto kCallbacks = MakeCallbacks();
  const auto used =
    http_parser_execute(&mParser, &kCallbacks, aBytes.data(), aBytes.size());
  const auto error = HTTP_PARSER_ERRNO(&mParser);
  if (error == HPE_PAUSED) {
    http_parser_pause(&mParser, 0);
    return used;
  }
  if (error != HPE_OK && mError == ParseError::None) {
    mError = ParseError::Malformed;
  }
  return used;
}

http_parser_settings
Parser::MakeCallbacks()
{
  http_parser_settings callbacks{};
  http_parser_settings_init(&callbacks);
  callbacks.on_headers_complete = &Parser::OnHeadersComplete;
  callbacks.on_body = &Parser::OnBody;
  callbacks.on_message_complete = &Parser::OnMessageComplete;
  return callbacks;
}

Parser&
Parser::Self(http_parser* aParser)
{
  return *static_cast<Parser*>(aParser->data);
}

int
Parser::OnHeadersComplete(http_parser* aParser)
{
  auto& self = Self(aParser);
  self.FinishHead();
  if (self.mError != ParseError::None) {
    return -1;
  }
  // The library reads a body of the given length whatever the status is.
  return self.mNoBody || self.HasStatusWithoutBody() ? 1 : 0;
}

void
Parser::FinishHead()
{
  mHasHead = true;
  if (!HasKnownFraming()) {
    mError = ParseError::Malformed;
    return;
  }
  const bool keepAlive = http_should_keep_alive(&mParser) != 0;
  const bool sized =
    mParser.content_length != std::numeric_limits<std::uint64_t>::max();
  if (sized && mParser.content_length > mLimits.bodyBytes) {
    mError = ParseError::BodyTooLarge;
    return;
  }
  if (mKind == MessageKind::Request) {
    mRequest.method = http_method_str(static_cast<http_method>(mParser.method));
    mRequest.keepAlive = keepAlive;
    mRequest.acceptsChunked =
      mParser.http_major == 1 && mParser.http_minor >= 1;
    return;
  }
  const bool empty = mNoBody || HasStatusWithoutBody();
  mResponse.endsByClose = !empty && !sized && (mParser.flags & F_CHUNKED) == 0U;
  mResponse.keepAlive = keepAlive && !mResponse.endsByClose;
}

bool
Parser::HasStatusWithoutBody() const
{
  const auto status = mParser.status_code;
  return mKind == MessageKind::Response &&
         (status < kFirstStatusWithBody || status == kNoContent ||
          status == kNotModified);
}

bool
Parser::HasKnownFraming() const
{
  // HTTP/1.0 has no chunked encoding: another recipient would take the chunks
  // for the body.
  const bool chunked = (mParser.flags & F_CHUNKED) != 0U;
  return mParser.http_major == 1 && (mParser.http_minor > 0 || !chunked);
}

int
Parser::OnBody(http_parser* aParser, const char* aAt, std::size_t aSize)
{
  auto& self = Self(aParser);
  self.mBodyRead += aSize;
  if (self.mBodyRead > self.mLimits.bodyBytes) {
    self.mError = ParseError::BodyTooLarge;
    return -1;
  }
  self.AppendBody({ aAt, aSize });
  return 0;
}

void
Parser::AppendBody(std::string_view aBytes)
{
  const auto needed = mBody.size() + aBytes.size();
  if (needed > mBody.capacity()) {
    // A string doubles as it grows, up to twice what the message may have. The
    // declared length isn't allocated at once: it may never arrive.
    const bool sized =
      (mParser.flags & F_CHUNKED) == 0U &&
      mParser.content_length != std::numeric_limits<std::uint64_t>::max();
    const auto left =
      sized ? mParser.content_length : mLimits.bodyBytes - mBodyRead;
    const auto most = needed + static_cast<std::size_t>(std::min<std::uint64_t>(
                                 left, mBody.max_size() - needed));
    std::string grown;
    grown.reserve(std::clamp(2 * mBody.capacity(), needed, most));
    grown += mBody;
    mBody.swap(grown);
  }
  mBody += aBytes;
}

int
Parser::OnMessageComplete(http_parser* aParser)
{
  Self(aParser).mComplete = true;
  http_parser_pause(aParser, 1);
  return 0;
}

} // namespace balsampoint::wire
