#pragma once

#include "balsampoint/stream/state.hpp"

#include <string>

namespace balsampoint::stream::internal {

/**
 * @brief Makes the id of a KV that is built in the current attempt.
 * @param aProgress The answer.
 * @return An id that no KV of an earlier attempt has.
 */
[[nodiscard]] inline RequestId
NewSession(const Progress& aProgress)
{
  return RequestId{ aProgress.request.id.String() + "." +
                    std::to_string(aProgress.attempt.Value()) };
}

} // namespace balsampoint::stream::internal
