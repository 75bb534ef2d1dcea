#include "balsampoint/config/internal/settings_values.hpp"

#include <array>
#include <utility>

namespace balsampoint::config::internal {

namespace {

/**
 * @brief Reads one of a closed list of words.
 * @tparam Value Type that the words stand for.
 */
template<typename Value, std::size_t Count>
void
ReadWord(FieldReader& aReader,
         const std::string& aField,
         const std::array<std::pair<std::string_view, Value>, Count>& aWords,
         Value& aValue)
{
  std::string text;
  if (!aReader.Read(aField, text)) {
    return;
  }
  std::string known;
  for (const auto& [word, value] : aWords) {
    if (word == text) {
      aValue = value;
      return;
    }
    known += (known.empty() ? "" : ", ") + std::string{ word };
  }
  aReader.Here().ReportField(aField, "'" + text + "' is not one of " + known);
}

} // namespace

void
ReadValue(const Cursor& aCursor, Listeners& aListeners)
{
  FieldReader reader{ aCursor };
  reader.Read("callers", aListeners.callers, Presence::Required);
  reader.Read("servers", aListeners.servers, Presence::Required);
  reader.Read("operators", aListeners.operators, Presence::Required);
  reader.Read("peers", aListeners.peers, Presence::Required);
  reader.Finish();
}

void
ReadValue(const Cursor& aCursor, Seed& aSeed)
{
  FieldReader reader{ aCursor };
  reader.Read("host", aSeed.host, Presence::Required);
  reader.Read("zone", aSeed.zone, Presence::Required);
  reader.Read("address", aSeed.address, Presence::Required);
  reader.Finish();
}

void
ReadValue(const Cursor& aCursor, TrafficLimits& aLimits)
{
  FieldReader reader{ aCursor };
  const auto positive = [&](const std::string& aField, auto& aValue) {
    if (reader.Read(aField, aValue) &&
        aValue <= std::decay_t<decltype(aValue)>{}) {
      reader.Here().ReportField(aField, "must be over zero");
    }
  };
  positive("worker_threads", aLimits.workerThreads);
  positive("header_bytes", aLimits.headerBytes);
  positive("body_bytes", aLimits.bodyBytes);
  positive("concurrent_requests", aLimits.concurrentRequests);
  positive("idle_timeout", aLimits.idleTimeout);
  reader.Finish();
}

void
ReadValue(const Cursor& aCursor, LogSettings& aLog)
{
  using Format = std::pair<std::string_view, LogFormat>;
  using Level = std::pair<std::string_view, LogLevel>;
  constexpr std::array kFormats{ Format{ "text", LogFormat::Text },
                                 Format{ "json", LogFormat::Json } };
  constexpr std::array kLevels{ Level{ "debug", LogLevel::Debug },
                                Level{ "info", LogLevel::Info },
                                Level{ "warning", LogLevel::Warning },
                                Level{ "error", LogLevel::Error } };
  FieldReader reader{ aCursor };
  ReadWord(reader, "format", kFormats, aLog.format);
  ReadWord(reader, "level", kLevels, aLog.level);
  reader.Finish();
}

void
ReadValue(const Cursor& aCursor, TraceSettings& aTrace)
{
  FieldReader reader{ aCursor };
  reader.Read("file", aTrace.file, Presence::Required);
  reader.Read("queue", aTrace.queue);
  if (aTrace.queue == 0) {
    reader.Here().ReportField("queue", "must be over zero");
  }
  reader.Finish();
}

} // namespace balsampoint::config::internal
