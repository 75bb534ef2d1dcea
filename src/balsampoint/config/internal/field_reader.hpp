#pragma once

#include "balsampoint/config/address.hpp"
#include "balsampoint/config/internal/node.hpp"
#include "balsampoint/core/id.hpp"
#include "balsampoint/core/time.hpp"

#include <charconv>
#include <concepts>
#include <filesystem>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace balsampoint::config::internal {

/** @brief Whether a field may be left out. */
enum class Presence : std::uint8_t
{
  Optional,
  Required,
};

/** @brief Where problems of one load go, and which node is being read. */
class Cursor
{
public:
  /**
   * @brief Points at a node.
   * @param aNode The node.
   * @param aPath Path of its field.
   * @param aProblems Receives problems.
   */
  Cursor(const Node& aNode, std::string aPath, Problems& aProblems)
    : mNode{ &aNode }
    , mPath{ std::move(aPath) }
    , mProblems{ &aProblems }
  {
  }

  /** @brief The node pointed at. */
  [[nodiscard]] const Node& At() const { return *mNode; }

  /** @brief Path of the node's field. */
  [[nodiscard]] const std::string& Path() const { return mPath; }

  /**
   * @brief Points at a field of this map.
   * @param aName The field, which exists.
   * @return The cursor.
   */
  [[nodiscard]] Cursor Field(const std::string& aName) const;

  /**
   * @brief Points at an item of this list.
   * @param aIndex Its index, which exists.
   * @return The cursor.
   */
  [[nodiscard]] Cursor Item(std::size_t aIndex) const;

  /**
   * @brief Reports a problem with this node.
   * @param aMessage What is wrong.
   */
  void Report(std::string_view aMessage) const;

  /**
   * @brief Reports a problem with a field that this map lacks.
   * @param aField Name of the field.
   * @param aMessage What is wrong.
   */
  void ReportField(std::string_view aField, std::string_view aMessage) const;

  /**
   * @brief Tells whether the node is of a kind, and reports it if not.
   * @param aKind The kind.
   * @return Whether it is.
   */
  [[nodiscard]] bool Expect(NodeKind aKind) const;

private:
  const Node* mNode;
  std::string mPath;
  Problems* mProblems;
};

void
ReadValue(const Cursor& aCursor, std::string& aValue);
void
ReadValue(const Cursor& aCursor, bool& aValue);
void
ReadValue(const Cursor& aCursor, double& aValue);
void
ReadValue(const Cursor& aCursor, Duration& aValue);
void
ReadValue(const Cursor& aCursor, Address& aValue);
void
ReadValue(const Cursor& aCursor, std::filesystem::path& aValue);

/**
 * @brief Tells whether a text is a name: letters, digits, `-`, `_`, `.`.
 * @param aText The text.
 * @return Whether it is one, of 1 to 64 characters.
 */
[[nodiscard]] bool
IsName(std::string_view aText);

/**
 * @brief Reads a whole number.
 * @tparam Number Unsigned type of the number.
 * @param aCursor The node.
 * @param aValue Receives it.
 */
template<std::unsigned_integral Number>
void
ReadValue(const Cursor& aCursor, Number& aValue)
{
  if (!aCursor.Expect(NodeKind::Scalar)) {
    return;
  }
  const auto& text = aCursor.At().scalar;
  const auto* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, aValue);
  if (error != std::errc{} || end != last) {
    aCursor.Report("'" + text + "' is not a whole number in range");
  }
}

/**
 * @brief Reads a name.
 * @tparam Tag Kind of the name.
 * @param aCursor The node.
 * @param aValue Receives it.
 */
template<typename Tag>
void
ReadValue(const Cursor& aCursor, BasicId<Tag>& aValue)
{
  if (!aCursor.Expect(NodeKind::Scalar)) {
    return;
  }
  if (!IsName(aCursor.At().scalar)) {
    aCursor.Report("'" + aCursor.At().scalar +
                   "' is not a name (1 to 64 letters, digits, '-', '_', '.')");
    return;
  }
  aValue = BasicId<Tag>{ aCursor.At().scalar };
}

/**
 * @brief Reads a list by reading each of its items.
 * @tparam Item Type of the items.
 * @param aCursor The node.
 * @param aValues Receives them.
 */
template<typename Item>
void
ReadValue(const Cursor& aCursor, std::vector<Item>& aValues)
{
  if (!aCursor.Expect(NodeKind::List)) {
    return;
  }
  aValues.clear();
  for (std::size_t index = 0; index < aCursor.At().items.size(); ++index) {
    ReadValue(aCursor.Item(index), aValues.emplace_back());
  }
}

/** @brief Reads the fields of one map and reports those nobody asked for. */
class FieldReader
{
public:
  /**
   * @brief Starts at a map.
   * @param aCursor The map; anything else is reported.
   */
  explicit FieldReader(Cursor aCursor);

  /**
   * @brief Reads a field.
   * @tparam Value Type with a `ReadValue`.
   * @param aName Name of the field.
   * @param aValue Receives it; unchanged when the field is left out.
   * @param aPresence Whether it may be left out.
   * @return Whether the field is there.
   */
  template<typename Value>
  bool Read(const std::string& aName,
            Value& aValue,
            Presence aPresence = Presence::Optional)
  {
    if (!Has(aName, aPresence)) {
      return false;
    }
    ReadValue(mCursor.Field(aName), aValue);
    return true;
  }

  /**
   * @brief Calls a function with each field of a nested map.
   * @tparam Visitor Callable with a name and its cursor.
   * @param aName Name of the nested map.
   * @param aVisit The function.
   */
  template<std::invocable<const std::string&, const Cursor&> Visitor>
  void Each(const std::string& aName, Visitor aVisit)
  {
    if (!Has(aName, Presence::Optional)) {
      return;
    }
    const auto map = mCursor.Field(aName);
    if (!map.Expect(NodeKind::Map)) {
      return;
    }
    for (const auto& [name, node] : map.At().fields) {
      const auto field = map.Field(name);
      if (!IsName(name)) {
        field.Report("the field's name is not a name of 1 to 64 letters, "
                     "digits, '-', '_', '.'");
        continue;
      }
      aVisit(name, field);
    }
  }

  /**
   * @brief Tells whether a field is there and not null.
   * @param aName Name of the field.
   * @param aPresence Whether its lack is reported.
   * @return Whether it is there.
   */
  [[nodiscard]] bool Has(const std::string& aName, Presence aPresence);

  /** @brief Reports every field that was not asked for. */
  void Finish() const;

  /** @brief The map being read. */
  [[nodiscard]] const Cursor& Here() const { return mCursor; }

private:
  Cursor mCursor;
  std::set<std::string> mAsked;
};

/**
 * @brief Reports a field unless it is over zero.
 * @tparam Value Type of the field.
 * @param aReader The map that holds the field.
 * @param aField Name of the field.
 * @param aValue Its value.
 */
template<typename Value>
void
RequirePositive(const FieldReader& aReader,
                std::string_view aField,
                const Value& aValue)
{
  if (aValue <= Value{}) {
    aReader.Here().ReportField(aField, "must be over zero");
  }
}

} // namespace balsampoint::config::internal
