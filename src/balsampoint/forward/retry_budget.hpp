#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/time.hpp"

#include <array>
#include <cstdint>
#include <map>

namespace balsampoint::forward {

/** @brief Bound on the retries of a service, divided among the hosts. */
struct RetryAllowance
{
  /** Retries allowed per request of the window. */
  double ratio{ 0.2 };
  /** Additional retries per window, for all hosts together. */
  double extra{ 0.0 };
  /** Hosts among which `extra` is divided until `SetHostCount` is called. */
  double hosts{ 64.0 };
  /** Fraction of all retries that is reserved for resumed streams. */
  double reservedForResumes{ 0.0 };
  Duration window{ std::chrono::seconds{ 10 } };
};

/** @brief Purpose of a further attempt. */
enum class RetryPurpose : std::uint8_t
{
  /** Repeats a request whose caller has received nothing yet. */
  Repeat,
  /** Resumes a stream of which the caller has received a part. */
  Resume,
};

/**
 * @brief Limits the retries to each service within a sliding window.
 *
 * Each host counts only its own requests and uses a fixed part of the extra
 * retries, so that the hosts together keep the bound without communication.
 */
class RetryBudget
{
public:
  /**
   * @brief Makes a budget without counted requests.
   * @param aAllowance The bound.
   */
  explicit RetryBudget(RetryAllowance aAllowance = {})
    : mAllowance{ aAllowance }
  {
  }

  /**
   * @brief Divides the extra retries among the known hosts.
   *
   * The largest number known so far is used, since unreachable hosts may still
   * be running, with a margin for hosts that were added since.
   * @param aHosts Known hosts, this one included.
   */
  void SetHostCount(std::uint32_t aHosts);

  /**
   * @brief Counts the first attempt of a request.
   * @param aService The service.
   * @param aNow Current time.
   */
  void CountRequest(const ServiceId& aService, Instant aNow);

  /**
   * @brief Takes a retry from the budget.
   * @param aService The service.
   * @param aPurpose Purpose of the retry.
   * @param aNow Current time.
   * @return Whether the budget allowed it.
   */
  [[nodiscard]] bool TakeRetry(const ServiceId& aService,
                               RetryPurpose aPurpose,
                               Instant aNow);

private:
  /** Number of parts of a window; requests and retries are counted per part. */
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
  std::uint32_t mMaxHosts{};
  std::map<ServiceId, Parts> mServices;
};

} // namespace balsampoint::forward
