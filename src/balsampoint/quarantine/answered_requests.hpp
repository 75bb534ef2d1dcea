#pragma once

#include "balsampoint/core/hash.hpp"
#include "balsampoint/core/time.hpp"
#include "balsampoint/quarantine/suspect_id.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace balsampoint::quarantine {

/**
 * @brief Which requests were answered lately, in constant memory and time.
 *
 * A request takes the place of another one with the same remainder; those that
 * come often are soon there again.
 */
class AnsweredRequests
{
public:
  /**
   * @brief Records an answer.
   * @param aRequest The request.
   * @param aAt When it was complete.
   */
  void Record(const SuspectId& aRequest, Instant aAt)
  {
    const auto hash = HashText(aRequest.id);
    mEntries[hash % kEntries] = { hash, aAt };
  }

  /**
   * @brief When a request was last answered; nothing if that isn't known.
   * @param aRequest The request.
   */
  [[nodiscard]] std::optional<Instant> LastAnswer(
    const SuspectId& aRequest) const
  {
    const auto hash = HashText(aRequest.id);
    const auto& entry = mEntries[hash % kEntries];
    return entry.hash == hash ? std::optional{ entry.at } : std::nullopt;
  }

private:
  static constexpr std::size_t kEntries = 4096;

  struct Entry
  {
    std::uint64_t hash{};
    Instant at{};
  };

  std::array<Entry, kEntries> mEntries{};
};

} // namespace balsampoint::quarantine
