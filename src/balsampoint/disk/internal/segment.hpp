#pragma once

#include "balsampoint/consensus/entry.hpp"

#include <string>
#include <vector>

namespace balsampoint::disk::internal {

inline constexpr std::string_view kSegmentPrefix = "log-";
inline constexpr std::string_view kSnapshotPrefix = "snapshot-";
inline constexpr std::string_view kHardStateName = "term-and-vote";
inline constexpr std::string_view kOwnerName = "owner";
/** @brief Size past which a segment takes no further entry, in bytes. */
inline constexpr std::uint64_t kSegmentBytes = 4ULL * 1024 * 1024;

/** @brief One file of entries that follow one another. */
struct Segment
{
  std::string name;
  consensus::Index first;
  /** Where each entry starts, in bytes. */
  std::vector<std::uint64_t> offsets;
  std::uint64_t size{};

  /** @brief Index of the entry after the last. */
  [[nodiscard]] consensus::Index End() const
  {
    return consensus::Index{ first.Value() + offsets.size() };
  }
};

/**
 * @brief Names a file after an index, so that names sort as indices do.
 * @param aPrefix Start of the name.
 * @param aIndex The index.
 */
[[nodiscard]] inline std::string
NameOf(std::string_view aPrefix, consensus::Index aIndex)
{
  constexpr std::size_t kDigits = 20;
  const auto digits = std::to_string(aIndex.Value());
  return std::string{ aPrefix } + std::string(kDigits - digits.size(), '0') +
         digits;
}

} // namespace balsampoint::disk::internal
