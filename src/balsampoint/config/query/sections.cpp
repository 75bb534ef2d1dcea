#include "balsampoint/config/query/sections.hpp"

#include <nlohmann/json.hpp>

namespace balsampoint::config {

namespace {

using Json = nlohmann::json;

constexpr char kSeparator = '/';

} // namespace

TextSections
SplitSections(std::string_view aText)
{
  TextSections sections;
  const auto root = Json::parse(aText);
  for (const auto& [field, value] : root.items()) {
    if (!value.is_object()) {
      sections[field] = value.dump();
      continue;
    }
    for (const auto& [id, entry] : value.items()) {
      auto name = field;
      name += kSeparator;
      name += id;
      sections[name] = entry.dump();
    }
  }
  return sections;
}

std::string
JoinSections(const TextSections& aSections)
{
  auto root = Json::object();
  for (const auto& [name, text] : aSections) {
    const auto separator = name.find(kSeparator);
    if (separator == std::string::npos) {
      root[name] = Json::parse(text);
      continue;
    }
    root[name.substr(0, separator)][name.substr(separator + 1)] =
      Json::parse(text);
  }
  return root.dump();
}

} // namespace balsampoint::config
