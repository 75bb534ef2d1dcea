#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsampoint::wire {

/** @brief One header field. */
struct Field
{
  std::string name;
  std::string value;

  bool operator==(const Field&) const = default;
};

/**
 * @brief Compares two ASCII texts, such as header names, ignoring case.
 * @param aOne First text.
 * @param aOther Second text.
 * @return Whether they are equal.
 */
[[nodiscard]] bool
EqualsIgnoreCase(std::string_view aOne, std::string_view aOther) noexcept;

/**
 * @brief Removes spaces and tabs from both ends of a text.
 * @param aText Text to trim.
 * @return Part of the same text.
 */
[[nodiscard]] std::string_view
Trim(std::string_view aText);

/** @brief Header fields in the order in which they were added. */
class Fields
{
public:
  /**
   * @brief Appends a field.
   * @param aName Name of the field.
   * @param aValue Value of the field.
   */
  void Add(std::string_view aName, std::string_view aValue)
  {
    mFields.push_back({ std::string{ aName }, std::string{ aValue } });
  }

  /**
   * @brief Finds the first field with a name.
   * @param aName Name, compared without case.
   * @return Its value, valid until the fields change; nothing if there is none.
   */
  [[nodiscard]] std::optional<std::string_view> Find(
    std::string_view aName) const;

  /**
   * @brief Counts the fields with a name.
   * @param aName Name, compared without case.
   */
  [[nodiscard]] std::size_t Count(std::string_view aName) const;

  /**
   * @brief Whether a comma-separated list contains a token.
   * @param aName Name of the fields that hold the list.
   * @param aToken Token, compared without case.
   */
  [[nodiscard]] bool HasToken(std::string_view aName,
                              std::string_view aToken) const;

  /** @brief All fields. */
  [[nodiscard]] const std::vector<Field>& All() const noexcept
  {
    return mFields;
  }

  /** @brief Removes all fields. */
  void Clear() { mFields.clear(); }

private:
  std::vector<Field> mFields;
};

} // namespace balsampoint::wire
