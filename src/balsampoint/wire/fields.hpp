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
 * @brief Compares names of header fields.
 * @param aOne A name.
 * @param aOther Another name.
 * @return Whether they are the same but for upper and lower case.
 */
[[nodiscard]] bool
SameName(std::string_view aOne, std::string_view aOther) noexcept;

/**
 * @brief Cuts spaces and tabs off both ends of a text.
 * @param aText The text.
 */
[[nodiscard]] std::string_view
Trim(std::string_view aText);

/** @brief Header fields in their order. */
class Fields
{
public:
  /**
   * @brief Appends a field.
   * @param aName Its name.
   * @param aValue Its value.
   */
  void Add(std::string_view aName, std::string_view aValue)
  {
    mFields.push_back({ std::string{ aName }, std::string{ aValue } });
  }

  /**
   * @brief Finds the first field of a name.
   * @param aName The name.
   * @return Its value, valid as long as the fields; nothing if there is none.
   */
  [[nodiscard]] std::optional<std::string_view> Find(
    std::string_view aName) const;

  /**
   * @brief Counts the fields of a name.
   * @param aName The name.
   */
  [[nodiscard]] std::size_t Count(std::string_view aName) const;

  /** @brief Whether a comma-separated field holds a word. */
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
