#pragma once

#include "balsampoint/change/table.hpp"
#include "balsampoint/peer/generated/change_types.h"

namespace balsampoint::peer::internal {

/**
 * @brief A counter as generated code holds it.
 * @tparam Tag Kind of the counter.
 * @param aNumber The counter.
 */
template<typename Tag>
[[nodiscard]] std::int64_t
ToWire(BasicNumber<Tag> aNumber)
{
  return static_cast<std::int64_t>(aNumber.Value());
}

/**
 * @brief A counter out of generated code.
 * @tparam Number Type of the counter.
 * @param aNumber The counter.
 */
template<typename Number>
[[nodiscard]] Number
FromWire(std::int64_t aNumber)
{
  return Number{ static_cast<std::uint64_t>(aNumber) };
}

/**
 * @brief A delta as generated code holds it.
 * @param aDelta The delta.
 */
[[nodiscard]] inline generated::ChangeDelta
ToWire(const change::Delta& aDelta)
{
  generated::ChangeDelta delta;
  delta.upserts = aDelta.upserts;
  delta.removals = { aDelta.removals.begin(), aDelta.removals.end() };
  return delta;
}

/**
 * @brief A delta out of generated code.
 * @param aDelta The delta.
 */
[[nodiscard]] inline change::Delta
FromWire(const generated::ChangeDelta& aDelta)
{
  return { aDelta.upserts, { aDelta.removals.begin(), aDelta.removals.end() } };
}

} // namespace balsampoint::peer::internal
