#include "balsampoint/wire/status_line.hpp"

#include <algorithm>
#include <charconv>

namespace balsampoint::wire {

namespace {

constexpr std::string_view kProtocol = "HTTP/";
constexpr std::string_view kVersion = "0.0 ";
constexpr std::size_t kStatusDigits = 3;

bool
IsDigit(char aLetter)
{
  return aLetter >= '0' && aLetter <= '9';
}

bool
Matches(char aLetter, char aExpected)
{
  return aExpected == '0' ? IsDigit(aLetter) : aLetter == aExpected;
}

bool
IsVersion(std::string_view aText)
{
  return std::equal(
    aText.begin(), aText.end(), kVersion.begin(), kVersion.end(), Matches);
}

/** @brief Whether a text begins with a whole number, or with as many digits as
 * a status has. */
bool
BeginsWithNumber(std::string_view aText)
{
  const auto digits = static_cast<std::size_t>(
    std::ranges::find_if_not(aText, IsDigit) - aText.begin());
  return digits >= kStatusDigits ||
         (digits > 0 && digits < aText.size() &&
          (aText[digits] == ' ' || aText[digits] == '\r'));
}

} // namespace

std::size_t
FindStatusLine(std::string_view aText, std::size_t aFrom)
{
  for (auto at = aText.find(kProtocol, aFrom); at != std::string_view::npos;
       at = aText.find(kProtocol, at + 1)) {
    const auto version = at + kProtocol.size();
    if (IsVersion(aText.substr(version, kVersion.size())) &&
        BeginsWithNumber(aText.substr(version + kVersion.size()))) {
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
  std::uint16_t status{};
  const auto* last = aText.data() + aText.size();
  const auto [end, error] = std::from_chars(aText.data(), last, status);
  return aText.size() == kStatusDigits && error == std::errc{} && end == last
           ? status
           : 0;
}

} // namespace balsampoint::wire
