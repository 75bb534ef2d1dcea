#pragma once

#include "balsampoint/http/listener.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace balsampoint::http::internal {

/**
 * @brief Reads a header that holds a whole number.
 * @param aRequest The request.
 * @param aName Name of the header.
 * @param aLeast Least value that is taken.
 * @param aMost Largest value that is taken.
 * @return The number, or nothing when there is no such header; throws
 * `Failure` with `BadRequest` when its value is not taken.
 */
[[nodiscard]] std::optional<std::uint64_t>
ReadNumber(const ServerRequest& aRequest,
           const std::string& aName,
           std::uint64_t aLeast,
           std::uint64_t aMost);

/**
 * @brief Reads the bearer key of a request.
 * @param aRequest The request.
 * @return The key; throws `Failure` with `Unauthorized` when there is none.
 */
[[nodiscard]] std::string
ReadKey(const ServerRequest& aRequest);

/**
 * @brief Refuses every method but one.
 * @param aRequest The request.
 * @param aMethod The method that is taken; otherwise `Failure` with
 * `MethodNotAllowed` is thrown.
 */
void
RequireMethod(const ServerRequest& aRequest, const std::string& aMethod);

} // namespace balsampoint::http::internal
