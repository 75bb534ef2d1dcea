#include "balsampoint/wire/status_line.hpp"

#include <algorithm>

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

} // namespace balsampoint::wire
