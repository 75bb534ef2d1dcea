#include "balsampoint/wire/event_splitter.hpp"

#include <algorithm>
#include <charconv>

namespace balsampoint::wire {

namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kIdField = "id:";

std::optional<std::uint64_t>
ReadId(std::string_view aEvent)
{
  std::size_t at = 0;
  while (at < aEvent.size()) {
    const auto end = aEvent.find('\n', at);
    auto line = aEvent.substr(at, end - at);
    at = end == std::string_view::npos ? aEvent.size() : end + 1;
    if (!line.starts_with(kIdField)) {
      continue;
    }
    line.remove_prefix(kIdField.size());
    line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
    std::uint64_t id{};
    const auto read =
      std::from_chars(line.data(), line.data() + line.size(), id);
    if (read.ec == std::errc{}) {
      return id;
    }
  }
  return std::nullopt;
}

} // namespace

void
EventSplitter::Append(std::string_view aBytes)
{
  mBytes.erase(0, mAt);
  mAt = 0;
  mBytes += aBytes;
}

std::optional<StreamEvent>
EventSplitter::Next()
{
  const auto end = mBytes.find(kEventEnd, mAt);
  if (end == std::string::npos) {
    return std::nullopt;
  }
  const auto size = end + kEventEnd.size() - mAt;
  const auto bytes = std::string_view{ mBytes }.substr(mAt, size);
  mAt += size;
  return StreamEvent{ bytes, ReadId(bytes) };
}

void
EventSplitter::Clear()
{
  mBytes.clear();
  mAt = 0;
}

} // namespace balsampoint::wire
