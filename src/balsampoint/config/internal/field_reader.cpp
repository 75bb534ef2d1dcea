#include "balsampoint/config/internal/field_reader.hpp"

#include "balsampoint/config/internal/duration_text.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace balsampoint::config::internal {

namespace {

constexpr std::size_t kMaxNameLength = 64;

/** @brief Number of single-character edits between two words. */
std::size_t
EditDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<std::size_t> row(aRight.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t left = 1; left <= aLeft.size(); ++left) {
    std::size_t diagonal = row[0];
    row[0] = left;
    for (std::size_t right = 1; right <= aRight.size(); ++right) {
      const auto replaced =
        diagonal + (aLeft[left - 1] == aRight[right - 1] ? 0 : 1);
      diagonal = row[right];
      row[right] = std::min({ replaced, row[right] + 1, row[right - 1] + 1 });
    }
  }
  return row.back();
}

std::string_view
Nearest(std::string_view aName, const std::set<std::string>& aNames)
{
  return *std::ranges::min_element(aNames, {}, [aName](const auto& aOther) {
    return EditDistance(aName, aOther);
  });
}

std::string_view
KindName(NodeKind aKind)
{
  switch (aKind) {
    case NodeKind::Null:
      return "nothing";
    case NodeKind::Scalar:
      return "a single value";
    case NodeKind::List:
      return "a list";
    case NodeKind::Map:
      break;
  }
  return "a map";
}

} // namespace

Cursor
Cursor::Field(const std::string& aName) const
{
  return { mNode->fields.at(aName),
           mPath.empty() ? aName : mPath + "." + aName,
           *mProblems };
}

Cursor
Cursor::Item(std::size_t aIndex) const
{
  return { mNode->items[aIndex],
           mPath + "[" + std::to_string(aIndex) + "]",
           *mProblems };
}

void
Cursor::Report(std::string_view aMessage) const
{
  mProblems->push_back(
    { mNode->file, mNode->line, mPath, std::string{ aMessage } });
}

void
Cursor::ReportField(std::string_view aField, std::string_view aMessage) const
{
  auto path = mPath.empty() ? std::string{} : mPath + ".";
  mProblems->push_back({ mNode->file,
                         mNode->line,
                         path + std::string{ aField },
                         std::string{ aMessage } });
}

bool
Cursor::Expect(NodeKind aKind) const
{
  if (mNode->kind == aKind) {
    return true;
  }
  Report("needs " + std::string{ KindName(aKind) } + ", found " +
         std::string{ KindName(mNode->kind) });
  return false;
}

void
ReadValue(const Cursor& aCursor, std::string& aValue)
{
  if (aCursor.Expect(NodeKind::Scalar)) {
    aValue = aCursor.At().scalar;
  }
}

void
ReadValue(const Cursor& aCursor, bool& aValue)
{
  if (!aCursor.Expect(NodeKind::Scalar)) {
    return;
  }
  const auto& text = aCursor.At().scalar;
  if (text != "true" && text != "false") {
    aCursor.Report("'" + text + "' is neither true nor false");
    return;
  }
  aValue = text == "true";
}

void
ReadValue(const Cursor& aCursor, double& aValue)
{
  if (!aCursor.Expect(NodeKind::Scalar)) {
    return;
  }
  const auto& text = aCursor.At().scalar;
  const auto* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, aValue);
  if (error != std::errc{} || end != last || !std::isfinite(aValue)) {
    aCursor.Report("'" + text + "' is not a number");
    aValue = 0;
  }
}

void
ReadValue(const Cursor& aCursor, Duration& aValue)
{
  if (!aCursor.Expect(NodeKind::Scalar)) {
    return;
  }
  const auto duration = ParseDuration(aCursor.At().scalar);
  if (!duration) {
    aCursor.Report("'" + aCursor.At().scalar +
                   "' is not a time such as 250ms, 30s, 5m or 1h");
    return;
  }
  aValue = *duration;
}

void
ReadValue(const Cursor& aCursor, Address& aValue)
{
  if (!aCursor.Expect(NodeKind::Scalar)) {
    return;
  }
  const auto address = Address::Parse(aCursor.At().scalar);
  if (!address) {
    aCursor.Report("'" + aCursor.At().scalar +
                   "' is not an IP number and port such as 127.0.0.1:8080");
    return;
  }
  aValue = *address;
}

void
ReadValue(const Cursor& aCursor, std::filesystem::path& aValue)
{
  std::string text;
  ReadValue(aCursor, text);
  if (text.empty()) {
    aCursor.Report("needs a path");
  }
  aValue = text;
}

bool
IsName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         std::ranges::all_of(aText, [](char aCharacter) {
           return (aCharacter >= 'a' && aCharacter <= 'z') ||
                  (aCharacter >= 'A' && aCharacter <= 'Z') ||
                  (aCharacter >= '0' && aCharacter <= '9') ||
                  aCharacter == '-' || aCharacter == '_' || aCharacter == '.';
         });
}

FieldReader::FieldReader(Cursor aCursor)
  : mCursor{ std::move(aCursor) }
{
  if (mCursor.At().kind != NodeKind::Null) {
    (void)mCursor.Expect(NodeKind::Map);
  }
}

bool
FieldReader::Has(const std::string& aName, Presence aPresence)
{
  mAsked.insert(aName);
  const auto& fields = mCursor.At().fields;
  const auto found = fields.find(aName);
  if (found != fields.end() && found->second.kind != NodeKind::Null) {
    return true;
  }
  if (aPresence == Presence::Required) {
    mCursor.ReportField(aName, "the field is missing");
  }
  return false;
}

void
FieldReader::Finish() const
{
  for (const auto& [name, node] : mCursor.At().fields) {
    if (mAsked.contains(name)) {
      continue;
    }
    const auto nearest = Nearest(name, mAsked);
    mCursor.Field(name).Report("unknown field; did you mean '" +
                               std::string{ nearest } + "'?");
  }
}

} // namespace balsampoint::config::internal
