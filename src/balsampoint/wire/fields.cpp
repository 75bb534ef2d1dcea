#include "balsampoint/wire/fields.hpp"

#include <algorithm>
#include <cctype>

namespace balsampoint::wire {

namespace {

char
Lower(char aLetter) noexcept
{
  return aLetter >= 'A' && aLetter <= 'Z'
           ? static_cast<char>(aLetter - 'A' + 'a')
           : aLetter;
}

} // namespace

bool
EqualsIgnoreCase(std::string_view aOne, std::string_view aOther) noexcept
{
  return aOne.size() == aOther.size() &&
         std::equal(aOne.begin(),
                    aOne.end(),
                    aOther.begin(),
                    [](char aFirst, char aSecond) {
                      return Lower(aFirst) == Lower(aSecond);
                    });
}

std::string_view
Trim(std::string_view aText)
{
  constexpr std::string_view kSpace = " \t";
  const auto begin = aText.find_first_not_of(kSpace);
  if (begin == std::string_view::npos) {
    return {};
  }
  return aText.substr(begin, aText.find_last_not_of(kSpace) - begin + 1);
}

std::optional<std::string_view>
Fields::Find(std::string_view aName) const
{
  for (const auto& field : mFields) {
    if (EqualsIgnoreCase(field.name, aName)) {
      return field.value;
    }
  }
  return std::nullopt;
}

std::size_t
Fields::Count(std::string_view aName) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(mFields, [&](const Field& aField) {
      return EqualsIgnoreCase(aField.name, aName);
    }));
}

bool
Fields::HasToken(std::string_view aName, std::string_view aToken) const
{
  for (const auto& field : mFields) {
    if (!EqualsIgnoreCase(field.name, aName)) {
      continue;
    }
    std::string_view rest = field.value;
    while (!rest.empty()) {
      const auto comma = rest.find(',');
      if (EqualsIgnoreCase(Trim(rest.substr(0, comma)), aToken)) {
        return true;
      }
      rest = comma == std::string_view::npos ? std::string_view{}
                                             : rest.substr(comma + 1);
    }
  }
  return false;
}

} // namespace balsampoint::wire
