#include "balsampoint/wire/field_syntax.hpp"

#include <algorithm>

namespace balsampoint::wire {

namespace {

bool
IsTokenCharacter(char aLetter)
{
  constexpr std::string_view kSpecial = "!#$%&'*+-.^_`|~";
  return (aLetter >= '0' && aLetter <= '9') ||
         (aLetter >= 'a' && aLetter <= 'z') ||
         (aLetter >= 'A' && aLetter <= 'Z') ||
         kSpecial.find(aLetter) != std::string_view::npos;
}

} // namespace

bool
IsToken(std::string_view aText)
{
  return !aText.empty() && std::ranges::all_of(aText, IsTokenCharacter);
}

bool
IsFieldText(std::string_view aText)
{
  return std::ranges::all_of(aText, [](char aLetter) {
    const auto code = static_cast<unsigned char>(aLetter);
    return aLetter == '\t' || (code >= ' ' && code != 0x7F);
  });
}

bool
IsField(std::string_view aLine)
{
  const auto colon = aLine.find(':');
  return colon != std::string_view::npos && IsToken(aLine.substr(0, colon)) &&
         IsFieldText(aLine);
}

} // namespace balsampoint::wire
