#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/time.hpp"

#include <array>
#include <cstdint>
#include <map>

namespace balsampoint::forward {

/** @brief This host's part of the retries that all hosts share. */
struct RetryAllowance
{
  /** Retries for each request of a window. */
  double ratio{ 0.2 };
  /** Retries beyond these in a window, of all hosts together. */
  double extra{ 0.0 };
  /** Hosts among which `extra` is divided while their number isn't known. */
  double hosts{ 64.0 };
  /** Part of all retries that is kept for streams in mid-answer. */
  double keptForResumes{ 0.0 };
  Duration window{ std::chrono::seconds{ 10 } };
};

/** @brief What a further attempt is made for. */
enum class RetryUse : std::uint8_t
{
  /** A request whose caller has got nothing yet. */
  Repeat,
  /** A stream of which the caller has got a part. */
  Resume,
};

/**
 * @brief Bounds the second attempts to each service in any window of time.
 *
 * Each host keeps to its own requests and a fixed part of the extra ones, so
 * that the hosts together keep the bound without talking to each other.
 */
class RetryBudget
{
public:
  /**
   * @brief Starts with nothing counted.
   * @param aAllowance The bound.
   */
  explicit RetryBudget(RetryAllowance aAllowance = {})
    : mAllowance{ aAllowance }
  {
  }

  /**
   * @brief Divides the extra retries by the hosts known to share them.
   *
   * The largest number ever known counts, since hosts out of sight may go on,
   * with room for hosts that were added since.
   * @param aHosts Hosts that share them now, this one included.
   */
  void ShareAmong(std::uint32_t aHosts);

  /**
   * @brief Counts the first attempt of a request.
   * @param aService The service.
   * @param aNow The time.
   */
  void CountRequest(const ServiceId& aService, Instant aNow);

  /**
   * @brief Takes a further attempt out of the budget.
   * @param aService The service.
   * @param aUse What it is made for.
   * @param aNow The time.
   * @return Whether there was one.
   */
  [[nodiscard]] bool TakeRetry(const ServiceId& aService,
                               RetryUse aUse,
                               Instant aNow);

private:
  /** Parts of a window that are counted together. */
  static constexpr std::size_t kParts = 20;

  struct Part
  {
    std::int64_t number{ -1 };
    std::uint32_t requests{};
    std::uint32_t retries{};
  };

  using Parts = std::array<Part, kParts + 1>;

  Part& PartAt(Parts& aParts, Instant aNow) const;
  [[nodiscard]] std::int64_t NumberAt(Instant aNow) const;

  RetryAllowance mAllowance;
  std::uint32_t mMostHosts{};
  std::map<ServiceId, Parts> mServices;
};

} // namespace balsampoint::forward
