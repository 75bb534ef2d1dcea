#include "engine/faults.hpp"

#include <charconv>
#include <string>

namespace balsampoint::engine {

namespace {

tl::expected<void, Error>
Apply(Faults& aFaults, std::string_view aName, std::uint64_t aValue)
{
  if (aName == "die_at") {
    aFaults.dieAt = aValue;
  } else if (aName == "die_after") {
    aFaults.dieAfter = aValue;
  } else if (aName == "hang_at") {
    aFaults.hangAt = aValue;
  } else if (aName == "drop_every") {
    aFaults.dropEvery = aValue;
  } else if (aName == "cross_every") {
    aFaults.crossEvery = aValue;
  } else if (aName == "slow_ms") {
    aFaults.slow = std::chrono::milliseconds{ aValue };
  } else if (aName == "ignore_cancel") {
    aFaults.ignoreCancel = aValue != 0;
  } else {
    return Refuse(ErrorKind::BadRequest,
                  "unknown fault '" + std::string{ aName } + "'");
  }
  return {};
}

} // namespace

tl::expected<Faults, Error>
Faults::Parse(std::string_view aText)
{
  Faults faults;
  while (!aText.empty()) {
    const auto word = aText.substr(0, aText.find(','));
    aText.remove_prefix(std::min(aText.size(), word.size() + 1));
    const auto name = word.substr(0, word.find('='));
    const auto digits = word.substr(std::min(word.size(), name.size() + 1));
    std::uint64_t value = 0;
    const auto* end = digits.data() + digits.size();
    const auto result = std::from_chars(digits.data(), end, value);
    if (result.ec != std::errc{} || result.ptr != end) {
      return Refuse(ErrorKind::BadRequest,
                    "fault '" + std::string{ word } + "' has no number");
    }
    const auto applied = Apply(faults, name, value);
    if (!applied) {
      return tl::unexpected(applied.error());
    }
  }
  return faults;
}

} // namespace balsampoint::engine
