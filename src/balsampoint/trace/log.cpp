#include "balsampoint/trace/log.hpp"

#include <chrono>
#include <fmt/chrono.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <string>
#include <utility>

namespace balsampoint::trace {

namespace {

struct RequestNames
{
  std::string_view request;
  std::string_view workspace;
};

RequestNames&
CurrentNames()
{
  thread_local RequestNames names;
  return names;
}

std::string
TimeText(spdlog::log_clock::time_point aTime)
{
  const auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(
      aTime.time_since_epoch());
  const auto seconds =
    std::chrono::duration_cast<std::chrono::seconds>(milliseconds);
  const auto fraction = (milliseconds - seconds).count();
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(static_cast<std::time_t>(seconds.count())),
                     fraction);
}

std::string_view
View(spdlog::string_view_t aText)
{
  return { aText.data(), aText.size() };
}

/** @brief One JSON object a line. */
struct JsonLayout
{
  static std::string Line(const spdlog::details::log_msg& aMessage,
                          std::string_view aHost)
  {
    const auto& names = CurrentNames();
    nlohmann::ordered_json line{
      { "time", TimeText(aMessage.time) },
      { "level", View(spdlog::level::to_string_view(aMessage.level)) },
      { "host", aHost },
      { "message", View(aMessage.payload) }
    };
    if (!names.request.empty()) {
      line["request"] = names.request;
      line["workspace"] = names.workspace;
    }
    using Json = nlohmann::ordered_json;
    return line.dump(-1, ' ', false, Json::error_handler_t::replace) + '\n';
  }
};

/** @brief A structured event, whose message is the inside of an object. */
struct EventLayout
{
  static std::string Line(const spdlog::details::log_msg& aMessage,
                          std::string_view aHost)
  {
    return fmt::format(R"({{"time":"{}","host":"{}",{}}})"
                       "\n",
                       TimeText(aMessage.time),
                       aHost,
                       View(aMessage.payload));
  }
};

/** @brief Words in a row, with the request's names in brackets. */
struct TextLayout
{
  static std::string Line(const spdlog::details::log_msg& aMessage,
                          std::string_view aHost)
  {
    const auto& names = CurrentNames();
    const auto request =
      names.request.empty()
        ? std::string{}
        : fmt::format(" [{} {}]", names.workspace, names.request);
    return fmt::format("{} {} {}{} {}\n",
                       TimeText(aMessage.time),
                       View(spdlog::level::to_string_view(aMessage.level)),
                       aHost,
                       request,
                       View(aMessage.payload));
  }
};

template<typename Layout>
class BasicFormatter : public spdlog::formatter
{
public:
  explicit BasicFormatter(std::string aHost)
    : mHost{ std::move(aHost) }
  {
  }

  // NOLINTNEXTLINE(readability-identifier-naming)
  void format(const spdlog::details::log_msg& aMessage,
              spdlog::memory_buf_t& aInto) override
  {
    const auto line = Layout::Line(aMessage, mHost);
    aInto.append(line.data(), line.data() + line.size());
  }

  // NOLINTNEXTLINE(readability-identifier-naming)
  [[nodiscard]] std::unique_ptr<spdlog::formatter> clone() const override
  {
    return std::make_unique<BasicFormatter>(mHost);
  }

private:
  std::string mHost;
};

spdlog::level::level_enum
ToLevel(config::LogLevel aLevel)
{
  switch (aLevel) {
    case config::LogLevel::Debug:
      return spdlog::level::debug;
    case config::LogLevel::Info:
      return spdlog::level::info;
    case config::LogLevel::Warning:
      return spdlog::level::warn;
    case config::LogLevel::Error:
      break;
  }
  return spdlog::level::err;
}

/** Lines that wait for the writer at most. */
constexpr std::size_t kQueuedLines = 4096;

std::shared_ptr<spdlog::logger>&
EventLoggerSlot()
{
  static std::shared_ptr<spdlog::logger> logger;
  return logger;
}

std::shared_ptr<spdlog::logger>
MakeAsyncLogger(const char* aName, const spdlog::sink_ptr& aSink)
{
  return std::make_shared<spdlog::async_logger>(
    aName,
    aSink,
    spdlog::thread_pool(),
    spdlog::async_overflow_policy::overrun_oldest);
}

} // namespace

void
ConfigureEventLog(config::LogLevel aLevel, const HostId& aHost)
{
  spdlog::init_thread_pool(kQueuedLines, 1);
  auto events = MakeAsyncLogger(
    "events", std::make_shared<spdlog::sinks::stdout_sink_mt>());
  events->set_formatter(
    std::make_unique<BasicFormatter<EventLayout>>(aHost.String()));
  EventLoggerSlot() = std::move(events);
  auto words = MakeAsyncLogger(
    "balsampoint", std::make_shared<spdlog::sinks::stdout_sink_mt>());
  words->set_formatter(
    std::make_unique<BasicFormatter<JsonLayout>>(aHost.String()));
  words->set_level(ToLevel(aLevel));
  spdlog::set_default_logger(std::move(words));
}

spdlog::logger*
EventLogger() noexcept
{
  return EventLoggerSlot().get();
}

std::size_t
DroppedLines()
{
  const auto pool = spdlog::thread_pool();
  return pool ? pool->overrun_counter() : 0;
}

void
ConfigureLog(const config::LogSettings& aSettings, const HostId& aHost)
{
  auto logger = std::make_shared<spdlog::logger>(
    "balsampoint", std::make_shared<spdlog::sinks::stderr_sink_mt>());
  if (aSettings.format == config::LogFormat::Json) {
    logger->set_formatter(
      std::make_unique<BasicFormatter<JsonLayout>>(aHost.String()));
  } else {
    logger->set_formatter(
      std::make_unique<BasicFormatter<TextLayout>>(aHost.String()));
  }
  logger->set_level(ToLevel(aSettings.level));
  spdlog::set_default_logger(std::move(logger));
}

LogScope::LogScope(std::string_view aRequest, std::string_view aWorkspace)
  : mOuterRequest{ CurrentNames().request }
  , mOuterWorkspace{ CurrentNames().workspace }
{
  CurrentNames() = { aRequest, aWorkspace };
}

LogScope::~LogScope()
{
  CurrentNames() = { mOuterRequest, mOuterWorkspace };
}

} // namespace balsampoint::trace
