#include "balsampoint/trace/context.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace balsampoint::trace {

namespace {

constexpr int kHexadecimal = 16;
constexpr std::size_t kDigits = 16;
constexpr std::size_t kTraceAt = 3;
constexpr std::size_t kSpanAt = 36;
constexpr std::size_t kFlagsAt = 53;
constexpr std::size_t kLength = 55;

std::optional<std::uint64_t>
ReadHex(std::string_view aText)
{
  const bool lower =
    aText.find_first_not_of("0123456789abcdef") == std::string_view::npos;
  std::uint64_t value = 0;
  const auto* const last = aText.data() + aText.size();
  const auto [end, error] =
    std::from_chars(aText.data(), last, value, kHexadecimal);
  if (!lower || error != std::errc{} || end != last) {
    return std::nullopt;
  }
  return value;
}

} // namespace

std::optional<Context>
Context::Parse(std::string_view aText)
{
  if (aText.size() < kLength || aText[2] != '-' || aText[kSpanAt - 1] != '-' ||
      aText[kFlagsAt - 1] != '-') {
    return std::nullopt;
  }
  const auto version = ReadHex(aText.substr(0, 2));
  const auto high = ReadHex(aText.substr(kTraceAt, kDigits));
  const auto low = ReadHex(aText.substr(kTraceAt + kDigits, kDigits));
  const auto parent = ReadHex(aText.substr(kSpanAt, kDigits));
  const auto flags = ReadHex(aText.substr(kFlagsAt, 2));
  constexpr std::uint64_t kInvalidVersion = 0xff;
  if (!version || !high || !low || !parent || !flags ||
      *version == kInvalidVersion ||
      (*version == 0 && aText.size() > kLength) || (*high == 0 && *low == 0) ||
      *parent == 0) {
    return std::nullopt;
  }
  return Context{ .traceHigh = *high,
                  .traceLow = *low,
                  .span = *parent,
                  .sampled = (*flags & 1U) != 0 };
}

std::string
Context::Text() const
{
  return "00-" + TraceId() + "-" + Hex(span) + (sampled ? "-01" : "-00");
}

std::string
Context::TraceId() const
{
  return Hex(traceHigh) + Hex(traceLow);
}

std::string
Hex(std::uint64_t aValue)
{
  std::array<char, kDigits> digits{};
  const auto [end, error] = std::to_chars(
    digits.data(), digits.data() + digits.size(), aValue, kHexadecimal);
  const auto length = static_cast<std::size_t>(end - digits.data());
  return std::string(kDigits - length, '0') +
         std::string{ digits.data(), length };
}

} // namespace balsampoint::trace
