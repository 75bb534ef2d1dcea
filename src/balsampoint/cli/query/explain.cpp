#include "balsampoint/cli/query/explain.hpp"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace balsampoint::cli {

namespace {

using Json = nlohmann::json;

/** @brief One line of a host's log. */
struct Line
{
  /** Text of the time; sorts as the time does. */
  std::string time;
  std::string host;
  std::string event;
  std::string request;
  std::string text;
};

constexpr std::array<std::string_view, 3> kBeliefs{ "configuration_in_force",
                                                    "leader_changed",
                                                    "server_unreachable" };
/** Characters of `2026-01-31T10:20:30`, the time to the second. */
constexpr std::size_t kSecondLength = 19;

std::vector<Line>
ReadLines(std::istream& aLogs)
{
  std::vector<Line> lines;
  std::string text;
  while (std::getline(aLogs, text)) {
    // A collector may have put its own words before the object.
    const auto begin = text.find('{');
    if (begin == std::string::npos) {
      continue;
    }
    auto object = text.substr(begin);
    const auto json = Json::parse(object, nullptr, false);
    if (!json.is_object() || !json.contains("time")) {
      continue;
    }
    lines.push_back({ .time = json.value("time", ""),
                      .host = json.value("host", ""),
                      .event = json.value("event", ""),
                      .request = json.value("request", ""),
                      .text = std::move(object) });
  }
  std::ranges::stable_sort(lines, {}, &Line::time);
  return lines;
}

bool
IsBelief(const Line& aLine)
{
  return std::ranges::find(kBeliefs, aLine.event) != kBeliefs.end();
}

std::string
SecondOf(const Line& aLine)
{
  return aLine.host + ' ' + aLine.time.substr(0, kSecondLength);
}

} // namespace

ExitCode
Explain(std::string_view aRequest, std::istream& aLogs, std::ostream& aInto)
{
  const auto lines = ReadLines(aLogs);
  std::set<std::string> seconds;
  for (const auto& line : lines) {
    if (line.request == aRequest) {
      seconds.insert(SecondOf(line));
    }
  }
  for (const auto& line : lines) {
    const bool own = line.request == aRequest;
    if (own || (IsBelief(line) && seconds.contains(SecondOf(line)))) {
      aInto << line.text << '\n';
    }
  }
  return seconds.empty() ? ExitCode::Failed : ExitCode::Success;
}

} // namespace balsampoint::cli
