#pragma once

#include "balsampoint/core/error.hpp"

#include <tl/expected.hpp>
#include <type_traits>
#include <utility>

namespace balsampoint::http::internal {

/**
 * @brief Takes a decision's value, or throws its error as a `Failure`.
 * @tparam Value Type of the value.
 * @param aResult The decision's result.
 * @return The value.
 */
template<typename Value>
Value
OrThrow(tl::expected<Value, Error> aResult)
{
  if (!aResult) {
    throw Failure{ aResult.error() };
  }
  if constexpr (!std::is_void_v<Value>) {
    return std::move(*aResult);
  }
}

} // namespace balsampoint::http::internal
