#pragma once

#include <compare>
#include <cstdint>
#include <ostream>

namespace balsampoint {

/**
 * @brief A counter; counters of different kinds are different types.
 * @tparam Tag Tag type of the kind; never defined.
 */
template<typename Tag>
class BasicNumber
{
public:
  constexpr BasicNumber() = default;

  /**
   * @brief Creates a counter.
   * @param aValue The value; zero stands for none.
   */
  constexpr explicit BasicNumber(std::uint64_t aValue)
    : mValue{ aValue }
  {
  }

  /** @brief The value. */
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

/** @brief Sequence number of accepted configurations; one change wins each. */
using ChangeNumber = BasicNumber<struct ChangeNumberTag>;
/** @brief Increases with each new holder of the lease to send orders. */
using FencingNumber = BasicNumber<struct FencingNumberTag>;
/** @brief Increases with each restart of a host or backend server. */
using Incarnation = BasicNumber<struct IncarnationTag>;
/** @brief Increases with each attempt to execute a request. */
using AttemptNumber = BasicNumber<struct AttemptNumberTag>;
/** @brief Position of a generated token in its answer, from zero. */
using StepNumber = BasicNumber<struct StepNumberTag>;
/** @brief Correlates an action of a decision module with the request to the
 * module that it answers. */
using Ticket = BasicNumber<struct TicketTag>;

} // namespace balsampoint
