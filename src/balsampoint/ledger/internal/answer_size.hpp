#pragma once

#include "balsampoint/ledger/key.hpp"

namespace balsampoint::ledger::internal {

/**
 * @brief Bytes of an answer's headers and body.
 * @param aAnswer The answer.
 */
[[nodiscard]] inline std::uint64_t
AnswerBytes(const StoredAnswer& aAnswer)
{
  std::uint64_t bytes = aAnswer.body.size();
  for (const auto& header : aAnswer.headers) {
    bytes += header.name.size() + header.value.size();
  }
  return bytes;
}

/**
 * @brief What is kept of an answer.
 * @param aAnswer The answer.
 * @param aLimit Bytes of headers and body at most.
 * @return The answer, or its status only when it is larger.
 */
[[nodiscard]] inline StoredAnswer
KeptOf(const StoredAnswer& aAnswer, std::uint64_t aLimit)
{
  if (AnswerBytes(aAnswer) <= aLimit) {
    return aAnswer;
  }
  return {
    .status = aAnswer.status, .headers = {}, .body = {}, .complete = false
  };
}

} // namespace balsampoint::ledger::internal
