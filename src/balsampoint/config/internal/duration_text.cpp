#include "balsampoint/config/internal/duration_text.hpp"

#include <array>
#include <charconv>
#include <chrono>
#include <cstdint>

namespace balsampoint::config::internal {

namespace {

struct Unit
{
  std::string_view name;
  Duration length{};
};

constexpr std::array kUnits{ Unit{ "h", std::chrono::hours{ 1 } },
                             Unit{ "m", std::chrono::minutes{ 1 } },
                             Unit{ "s", std::chrono::seconds{ 1 } },
                             Unit{ "ms", std::chrono::milliseconds{ 1 } },
                             Unit{ "us", std::chrono::microseconds{ 1 } },
                             Unit{ "ns", std::chrono::nanoseconds{ 1 } } };

} // namespace

std::optional<Duration>
ParseDuration(std::string_view aText)
{
  std::uint64_t count = 0;
  const auto [end, error] =
    std::from_chars(aText.data(), aText.data() + aText.size(), count);
  if (error != std::errc{}) {
    return std::nullopt;
  }
  const auto name = aText.substr(static_cast<std::size_t>(end - aText.data()));
  for (const auto& unit : kUnits) {
    const auto most = static_cast<std::uint64_t>(Duration::max() / unit.length);
    if (unit.name == name && count <= most) {
      return unit.length * static_cast<Duration::rep>(count);
    }
  }
  return std::nullopt;
}

std::string
DurationText(Duration aDuration)
{
  for (const auto& unit : kUnits) {
    if (aDuration.count() != 0 && aDuration % unit.length == Duration::zero()) {
      return std::to_string(aDuration / unit.length) + std::string{ unit.name };
    }
  }
  return "0s";
}

} // namespace balsampoint::config::internal
