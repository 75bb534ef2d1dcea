#include "balsampoint/wire/status_line.hpp"

#include <algorithm>
#include <charconv>

namespace balsampoint::wire {

namespace {

bool
Matches(char aLetter, char aExpected)
{
  return aExpected == '0' ? aLetter >= '0' && aLetter <= '9'
                          : aLetter == aExpected;
}

} // namespace

std::size_t
FindStatusLine(std::string_view aText, std::size_t aFrom)
{
  constexpr std::string_view kVersion = "HTTP/";
  constexpr std::string_view kPattern = "0.0 000";
  for (auto at = aText.find(kVersion, aFrom); at != std::string_view::npos;
       at = aText.find(kVersion, at + 1)) {
    const auto rest = aText.substr(at + kVersion.size(), kPattern.size());
    if (std::equal(rest.begin(),
                   rest.end(),
                   kPattern.begin(),
                   kPattern.end(),
                   Matches)) {
      return at;
    }
  }
  return std::string_view::npos;
}

bool
MayBeginWithStatusLine(std::string_view aBytes)
{
  constexpr std::string_view kPattern = "HTTP/0.0 000";
  const auto size = std::min(aBytes.size(), kPattern.size());
  return std::equal(
    aBytes.begin(), aBytes.begin() + size, kPattern.begin(), Matches);
}

std::uint16_t
ReadStatus(std::string_view aText)
{
  constexpr std::size_t kDigits = 3;
  std::uint16_t status{};
  const auto* last = aText.data() + aText.size();
  const auto [end, error] = std::from_chars(aText.data(), last, status);
  return aText.size() == kDigits && error == std::errc{} && end == last ? status
                                                                        : 0;
}

} // namespace balsampoint::wire
