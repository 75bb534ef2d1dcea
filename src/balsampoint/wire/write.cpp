#include "balsampoint/wire/write.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <http_parser.h>

namespace balsampoint::wire {

void
AppendField(std::string& aOutput,
            std::string_view aName,
            std::string_view aValue)
{
  aOutput += aName;
  aOutput += ": ";
  aOutput += aValue;
  aOutput += "\r\n";
}

bool
IsHopByHopField(std::string_view aName, const Fields& aFields)
{
  constexpr std::array<std::string_view, 9> kNames{
    "Connection",          "Keep-Alive", "Proxy-Connection",
    "Proxy-Authorization", "TE",         "Trailer",
    "Transfer-Encoding",   "Upgrade",    "Content-Length"
  };
  return std::ranges::any_of(kNames,
                             [&](std::string_view aHop) {
                               return EqualsIgnoreCase(aName, aHop);
                             }) ||
         aFields.HasToken("Connection", aName);
}

void
AppendChunk(std::string& aOutput, std::string_view aBytes)
{
  constexpr int kHexadecimal = 16;
  std::array<char, 16> size{};
  const auto end = std::to_chars(
    size.data(), size.data() + size.size(), aBytes.size(), kHexadecimal);
  aOutput.append(size.data(), end.ptr);
  aOutput += "\r\n";
  aOutput += aBytes;
  aOutput += "\r\n";
}

std::string_view
ReasonPhrase(std::uint16_t aStatus)
{
  return http_status_str(static_cast<http_status>(aStatus));
}

} // namespace balsampoint::wire
