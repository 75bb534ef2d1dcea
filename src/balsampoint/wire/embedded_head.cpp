#include "balsampoint/wire/embedded_head.hpp"

#include "balsampoint/wire/field_syntax.hpp"
#include "balsampoint/wire/parser.hpp"
#include "balsampoint/wire/status_line.hpp"

#include <algorithm>

namespace balsampoint::wire {

namespace {

constexpr std::string_view kLineEnd = "\r\n";

/** @brief Where the last status line begins that reaches to the end of a line.
 */
std::optional<std::size_t>
StatusLineIn(std::string_view aLine)
{
  const auto control =
    std::find_if(aLine.rbegin(), aLine.rend(), [](char aOne) {
      return !IsFieldText({ &aOne, 1 });
    });
  std::optional<std::size_t> last;
  for (auto at = FindStatusLine(
         aLine, static_cast<std::size_t>(aLine.rend() - control));
       at != std::string_view::npos;
       at = FindStatusLine(aLine, at + 1)) {
    last = at;
  }
  return last;
}

/** @brief Whether a line that is cut may be the beginning of a field. */
bool
MayBeginField(std::string_view aCut)
{
  if (aCut.ends_with('\r')) {
    aCut.remove_suffix(1);
  }
  return aCut.empty() || IsToken(aCut) || IsField(aCut);
}

/** @brief Whether a status line that is cut has nothing but words for its
 * reason, unlike one that is quoted in a text. */
bool
MayBeginHead(std::string_view aCut)
{
  constexpr std::string_view kVersion = "HTTP/0.0 ";
  constexpr std::size_t kDigits = 3;
  const auto number = aCut.substr(kVersion.size());
  const auto digits =
    std::min(number.find_first_not_of("0123456789"), number.size());
  return digits == kDigits &&
         std::ranges::all_of(number.substr(digits), [](char aLetter) {
           return (aLetter >= 'a' && aLetter <= 'z') ||
                  (aLetter >= 'A' && aLetter <= 'Z') || aLetter == ' ' ||
                  aLetter == '-' || aLetter == '\r' || aLetter == '\n';
         });
}

/** @brief Parses the lines of a head, which lack the empty one at its end. */
std::optional<ResponseHead>
ParseHead(std::string_view aLines)
{
  Parser parser{ MessageKind::Response };
  static_cast<void>(parser.Read(aLines));
  static_cast<void>(parser.Read(kLineEnd));
  return parser.HasHead() && parser.Error() == ParseError::None
           ? std::optional{ std::move(parser.Response()) }
           : std::nullopt;
}

/** @brief Whether a head is that of an interim response to which the bytes
 * behind it belong. */
bool
IsPartOfNext(const ResponseHead& aHead, std::string_view aBehind)
{
  return aHead.Interim() &&
         (aBehind.empty() || MayBeginWithStatusLine(aBehind));
}

/** @brief A head at which the bytes end, if it begins anywhere. */
std::optional<EmbeddedHead>
CutHead(std::optional<std::size_t> aBegin, std::size_t aEnd)
{
  return aBegin ? std::optional{ EmbeddedHead{ *aBegin, aEnd, std::nullopt } }
                : std::nullopt;
}

} // namespace

std::optional<EmbeddedHead>
FindEmbeddedHead(std::string_view aBytes)
{
  if (FindStatusLine(aBytes) == std::string_view::npos) {
    return std::nullopt;
  }
  // Where the interim responses before the head begin.
  std::optional<std::size_t> first;
  // A head of which all lines but the last ones were read.
  std::optional<std::size_t> begin;
  bool hasFields = false;
  std::size_t at = 0;
  while (at < aBytes.size()) {
    const auto end = aBytes.find(kLineEnd, at);
    const bool cut = end == std::string_view::npos;
    const auto line = aBytes.substr(at, cut ? end : end - at);
    const auto next = cut ? aBytes.size() : end + kLineEnd.size();
    const auto found =
      StatusLineIn(line.substr(0, line.find_last_not_of('\r') + 1));
    if (begin && !found && (cut ? MayBeginField(line) : IsField(line))) {
      hasFields = true;
      at = next;
      continue;
    }
    // Without its empty line, a head breaks off here.
    const bool ends = begin && line.empty();
    if (ends || hasFields) {
      const auto behind = ends ? next : at;
      auto head = ParseHead(aBytes.substr(*begin, at - *begin));
      if (head && !IsPartOfNext(*head, aBytes.substr(behind))) {
        return EmbeddedHead{ first.value_or(*begin), behind, std::move(head) };
      }
      first = head ? std::optional{ first.value_or(*begin) } : std::nullopt;
    }
    begin = found ? std::optional{ at + *found } : std::nullopt;
    hasFields = false;
    at = next;
  }
  const bool isCut =
    begin && (hasFields || MayBeginHead(aBytes.substr(*begin)));
  return CutHead(first ? first : isCut ? begin : std::nullopt, aBytes.size());
}

} // namespace balsampoint::wire
