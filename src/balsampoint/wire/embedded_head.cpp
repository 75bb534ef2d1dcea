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
  constexpr std::string_view kStatus = "HTTP/0.0 000";
  return std::ranges::all_of(aCut.substr(kStatus.size()), [](char aLetter) {
    return (aLetter >= 'a' && aLetter <= 'z') ||
           (aLetter >= 'A' && aLetter <= 'Z') || aLetter == ' ' ||
           aLetter == '-' || aLetter == '\r' || aLetter == '\n';
  });
}

std::optional<ResponseHead>
ParseHead(std::string_view aBytes)
{
  Parser parser{ MessageKind::Response };
  static_cast<void>(parser.Read(aBytes));
  return parser.HasHead() && parser.Error() == ParseError::None
           ? std::optional{ std::move(parser.Response()) }
           : std::nullopt;
}

} // namespace

std::optional<EmbeddedHead>
FindEmbeddedHead(std::string_view aBytes)
{
  if (FindStatusLine(aBytes) == std::string_view::npos) {
    return std::nullopt;
  }
  // A head of which all lines but the last ones were read.
  std::optional<std::size_t> begin;
  bool hasFields = false;
  std::size_t at = 0;
  while (at < aBytes.size()) {
    const auto end = aBytes.find(kLineEnd, at);
    const bool cut = end == std::string_view::npos;
    const auto line = aBytes.substr(at, cut ? end : end - at);
    const auto next = cut ? aBytes.size() : end + kLineEnd.size();
    if (begin && line.empty()) {
      if (auto head = ParseHead(aBytes.substr(*begin, next - *begin))) {
        return EmbeddedHead{ *begin, next, std::move(head) };
      }
      begin.reset();
    } else if (begin && (cut ? MayBeginField(line) : IsField(line))) {
      hasFields = true;
    } else {
      const auto found = StatusLineIn(
        cut && line.ends_with('\r') ? line.substr(0, line.size() - 1) : line);
      begin = found ? std::optional{ at + *found } : std::nullopt;
      hasFields = false;
    }
    at = next;
  }
  if (!begin || (!hasFields && !MayBeginHead(aBytes.substr(*begin)))) {
    return std::nullopt;
  }
  return EmbeddedHead{ *begin, aBytes.size(), std::nullopt };
}

} // namespace balsampoint::wire
