#include "balsampoint/trace/event.hpp"

#include "balsampoint/trace/log.hpp"

#include <chrono>
#include <fmt/format.h>
#include <spdlog/spdlog.h>

namespace balsampoint::trace {

namespace {

/** @brief Appends a text as it stands within quotes in JSON. */
void
AppendEscaped(std::string& aInto, std::string_view aText)
{
  for (const char letter : aText) {
    const auto code = static_cast<unsigned char>(letter);
    if (letter == '"' || letter == '\\') {
      aInto += '\\';
      aInto += letter;
    } else if (code < ' ') {
      aInto += fmt::format("\\u{:04x}", code);
    } else {
      aInto += letter;
    }
  }
}

} // namespace

Event::Event(std::string_view aName)
{
  constexpr std::size_t kUsualBytes = 320;
  mText.reserve(kUsualBytes);
  mText += R"("event":")";
  mText += aName;
  mText += '"';
}

Event::~Event()
{
  if (auto* logger = EventLogger()) {
    logger->info(mText);
  }
}

Event&
Event::With(std::string_view aName, std::string_view aValue)
{
  mText += ",\"";
  mText += aName;
  mText += "\":\"";
  AppendEscaped(mText, aValue);
  mText += '"';
  return *this;
}

Event&
Event::With(std::string_view aName, Duration aValue)
{
  const std::chrono::duration<double, std::milli> milliseconds = aValue;
  return WithRaw(aName, fmt::format("{:.1f}", milliseconds.count()));
}

Event&
Event::WithRaw(std::string_view aName, std::string_view aValue)
{
  mText += ",\"";
  mText += aName;
  mText += "\":";
  mText += aValue;
  return *this;
}

void
Write(std::string_view aName)
{
  const Event event{ aName };
}

} // namespace balsampoint::trace
