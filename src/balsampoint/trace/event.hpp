#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/time.hpp"

#include <concepts>
#include <string>
#include <string_view>

namespace balsampoint::trace {

/**
 * @brief One structured line of the log, written when it is destroyed.
 *
 * The line is queued for a writer thread; when the queue is full the oldest
 * lines are dropped and counted, so that a slow reader delays nothing.
 */
class Event
{
public:
  /**
   * @brief Starts a line.
   * @param aName What happened, one of a closed list of names.
   */
  explicit Event(std::string_view aName);

  Event(const Event&) = delete;
  Event& operator=(const Event&) = delete;
  Event(Event&&) = delete;
  Event& operator=(Event&&) = delete;

  /** @brief Hands the line to the writer. */
  ~Event();

  /**
   * @brief Adds a text.
   * @param aName Name of the field.
   * @param aValue The text.
   * @return This line.
   */
  Event& With(std::string_view aName, std::string_view aValue);

  /**
   * @brief Adds a number.
   * @tparam Number Type of the number.
   * @param aName Name of the field.
   * @param aValue The number.
   * @return This line.
   */
  template<typename Number>
    requires std::integral<Number> || std::floating_point<Number>
  Event& With(std::string_view aName, Number aValue)
  {
    return WithRaw(aName, std::to_string(aValue));
  }

  /**
   * @brief Adds a name.
   * @tparam Tag Kind of the name.
   * @param aName Name of the field.
   * @param aValue The name.
   * @return This line.
   */
  template<typename Tag>
  Event& With(std::string_view aName, const BasicId<Tag>& aValue)
  {
    return With(aName, aValue.Value());
  }

  /**
   * @brief Adds a length of time, in milliseconds.
   * @param aName Name of the field; ends with `_ms`.
   * @param aValue The length.
   * @return This line.
   */
  Event& With(std::string_view aName, Duration aValue);

private:
  Event& WithRaw(std::string_view aName, std::string_view aValue);

  std::string mText;
};

/**
 * @brief Writes a line without fields.
 * @param aName What happened, one of the closed list of names.
 */
void
Write(std::string_view aName);

} // namespace balsampoint::trace
