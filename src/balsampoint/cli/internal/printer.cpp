#include "balsampoint/cli/internal/printer.hpp"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <vector>

namespace balsampoint::cli {

namespace {

using Row = std::vector<std::string>;

std::string
CellText(const Json& aValue)
{
  if (aValue.is_string()) {
    return aValue.get<std::string>();
  }
  if (!aValue.is_array()) {
    return aValue.is_null() ? "-" : aValue.dump();
  }
  std::string text;
  for (const auto& item : aValue) {
    text += (text.empty() ? "" : ",") +
            (item.is_string() ? item.get<std::string>() : item.dump());
  }
  return text.empty() ? "-" : text;
}

/** @brief Names of all fields of all items, in the order of their showing. */
Row
ColumnNames(const Json& aItems)
{
  Row names;
  for (const auto& item : aItems) {
    for (const auto& field : item.items()) {
      if (std::ranges::find(names, field.key()) == names.end()) {
        names.push_back(field.key());
      }
    }
  }
  return names;
}

void
PrintRows(std::ostream& aStream, const std::vector<Row>& aRows)
{
  constexpr std::size_t kGap = 2;
  std::vector<std::size_t> widths(aRows.front().size());
  for (const auto& row : aRows) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], row[column].size());
    }
  }
  for (const auto& row : aRows) {
    std::string line;
    for (std::size_t column = 0; column < row.size(); ++column) {
      line += row[column];
      line += std::string(widths[column] - row[column].size() + kGap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    aStream << line << '\n';
  }
}

void
PrintItems(std::ostream& aStream, const Json& aItems)
{
  if (aItems.empty()) {
    aStream << "none\n";
    return;
  }
  std::vector<Row> rows{ ColumnNames(aItems) };
  for (const auto& item : aItems) {
    Row row;
    for (const auto& name : rows.front()) {
      row.push_back(item.contains(name) ? CellText(item[name]) : "-");
    }
    rows.push_back(std::move(row));
  }
  PrintRows(aStream, rows);
}

} // namespace

void
Print(std::ostream& aStream, const Json& aResult, Output aOutput)
{
  if (aOutput == Output::Json) {
    aStream << aResult.dump(2) << '\n';
    return;
  }
  if (aResult.is_array()) {
    PrintItems(aStream, aResult);
    return;
  }
  std::vector<Row> rows;
  for (const auto& field : aResult.items()) {
    rows.push_back({ field.key(), CellText(field.value()) });
  }
  if (!rows.empty()) {
    PrintRows(aStream, rows);
  }
}

ExitCode
PrintResult(const tl::expected<Json, ClientError>& aResult,
            const Options& aOptions)
{
  if (!aResult) {
    std::cerr << "balsampoint: " << aResult.error().message << '\n';
    return aResult.error().code;
  }
  Print(std::cout, *aResult, aOptions.output);
  return ExitCode::Success;
}

} // namespace balsampoint::cli
