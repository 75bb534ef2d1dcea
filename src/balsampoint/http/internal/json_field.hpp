#pragma once

#include "balsampoint/core/error.hpp"

#include <concepts>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <type_traits>

namespace balsampoint::http::internal {

/** @brief A JSON document in memory. */
using Json = nlohmann::json;

/**
 * @brief Writes a 64-bit value as 16 hexadecimal digits.
 * @param aValue The value.
 * @return The digits.
 */
[[nodiscard]] std::string
Hex(std::uint64_t aValue);

/**
 * @brief Reads a 64-bit value from hexadecimal digits.
 * @param aField A JSON string.
 * @return The value; throws `Failure` with `BadRequest` when it is none.
 */
[[nodiscard]] std::uint64_t
ReadHex(const Json& aField);

/**
 * @brief Parses a document and reads a message from it.
 * @tparam Reader Callable with the document; returns the message.
 * @param aText JSON text.
 * @param aRead Reads the message; may throw.
 * @return The message, or `BadRequest` with what is wrong.
 */
template<std::invocable<const Json&> Reader>
[[nodiscard]] tl::expected<std::invoke_result_t<Reader, const Json&>, Error>
Parse(std::string_view aText, Reader aRead)
{
  try {
    return aRead(Json::parse(aText));
  } catch (const nlohmann::json::exception& failure) {
    return Refuse(ErrorKind::BadRequest, failure.what());
  } catch (const Failure& failure) {
    return tl::unexpected(failure.Cause());
  }
}

} // namespace balsampoint::http::internal
