#pragma once

#include "balsampoint/ledger/key.hpp"

namespace balsampoint::ledger::internal {

/**
 * @brief Size of an answer's headers and body in bytes.
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
 * @brief Limits an answer to the size that is stored.
 * @param aAnswer The answer.
 * @param aLimit Largest size of headers and body in bytes.
 * @return The answer, or only its status if it exceeds the limit.
 */
[[nodiscard]] inline StoredAnswer
LimitAnswerSize(const StoredAnswer& aAnswer, std::uint64_t aLimit)
{
  if (AnswerBytes(aAnswer) <= aLimit) {
    return aAnswer;
  }
  return {
    .status = aAnswer.status, .headers = {}, .body = {}, .complete = false
  };
}

} // namespace balsampoint::ledger::internal
