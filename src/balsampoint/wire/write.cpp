#include "balsampoint/wire/write.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <http_parser.h>

namespace balsampoint::wire {

void
AppendField(std::string& aInto, std::string_view aName, std::string_view aValue)
{
  aInto += aName;
  aInto += ": ";
  aInto += aValue;
  aInto += "\r\n";
}

bool
IsHopField(std::string_view aName, const Fields& aFields)
{
  constexpr std::array<std::string_view, 9> kNames{
    "Connection",          "Keep-Alive", "Proxy-Connection",
    "Proxy-Authorization", "TE",         "Trailer",
    "Transfer-Encoding",   "Upgrade",    "Content-Length"
  };
  return std::ranges::any_of(
           kNames,
           [&](std::string_view aHop) { return SameName(aName, aHop); }) ||
         aFields.HasToken("Connection", aName);
}

void
AppendChunk(std::string& aInto, std::string_view aBytes)
{
  constexpr int kHexadecimal = 16;
  std::array<char, 16> size{};
  const auto end = std::to_chars(
    size.data(), size.data() + size.size(), aBytes.size(), kHexadecimal);
  aInto.append(size.data(), end.ptr);
  aInto += "\r\n";
  aInto += aBytes;
  aInto += "\r\n";
}

std::string_view
ReasonOf(std::uint16_t aStatus)
{
  return http_status_str(static_cast<http_status>(aStatus));
}

} // namespace balsampoint::wire
