#pragma once

#include <compare>
#include <cstdint>
#include <ostream>

namespace balsampoint {

/**
 * @brief A counter that can't be mixed up with counters of another kind.
 * @tparam Tag Distinguishes the kinds; never defined.
 */
template<typename Tag>
class BasicNumber
{
public:
  constexpr BasicNumber() = default;

  /**
   * @brief Wraps a count.
   * @param aValue The count; zero means none yet.
   */
  constexpr explicit BasicNumber(std::uint64_t aValue)
    : mValue{ aValue }
  {
  }

  /** @brief The count. */
  [[nodiscard]] constexpr std::uint64_t Value() const noexcept
  {
    return mValue;
  }

  /** @brief The number that follows this one. */
  [[nodiscard]] constexpr BasicNumber Next() const noexcept
  {
    return BasicNumber{ mValue + 1 };
  }

  constexpr auto operator<=>(const BasicNumber&) const = default;

  friend std::ostream& operator<<(std::ostream& aStream, BasicNumber aNumber)
  {
    return aStream << aNumber.mValue;
  }

private:
  std::uint64_t mValue{};
};

/** @brief Orders the accepted configurations; one winner per number. */
using ChangeNumber = BasicNumber<struct ChangeNumberTag>;
/** @brief Rises with each new leaseholder that gives orders to engines. */
using FencingNumber = BasicNumber<struct FencingNumberTag>;
/** @brief Rises with each restart of a host or backend server. */
using Incarnation = BasicNumber<struct IncarnationTag>;
/** @brief Rises with each try to run one request. */
using AttemptNumber = BasicNumber<struct AttemptNumberTag>;
/** @brief Position of a generated token in its answer, from zero. */
using StepNumber = BasicNumber<struct StepNumberTag>;
/** @brief Matches an action of a decision module to the caller that waits. */
using Ticket = BasicNumber<struct TicketTag>;

} // namespace balsampoint
