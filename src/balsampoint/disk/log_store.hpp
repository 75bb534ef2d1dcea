#pragma once

#include "balsampoint/consensus/state.hpp"
#include "balsampoint/disk/internal/segment.hpp"
#include "balsampoint/disk/record.hpp"
#include "balsampoint/peer/consensus_codec.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace balsampoint::disk {

/** @brief Whose data a folder holds. */
struct FolderOwner
{
  ClusterId cluster;
  HostId host;

  bool operator==(const FolderOwner&) const = default;
};

/**
 * @brief Keeps the replicated log, its snapshot, the term and the vote.
 *
 * Entries stand in segments, files of checksummed records named after their
 * first index. A write is durable when `Write` returns. After a failed write
 * every other one is refused until a write that resumes has worked.
 *
 * An empty record is a marker: everything before it is durable. Markers are
 * written without a sync, so the last one may be missing after a power loss.
 * Damage that no marker follows lies in a write that was not completed.
 * @tparam D Disk that holds the files.
 */
template<typename D>
class BasicLogStore
{
public:
  /**
   * @brief Opens the store of a folder, which is claimed if it is empty.
   * @param aDisk The folder.
   * @param aOwner This host.
   * @return The store, or `ErrorKind::InvalidConfiguration` when the folder
   * belongs to another host or cluster.
   */
  [[nodiscard]] static tl::expected<BasicLogStore, Error> Open(
    D aDisk,
    const FolderOwner& aOwner);

  /**
   * @brief Reads everything back; cuts what a power loss has torn in the last
   * write.
   * @return The content, or `ErrorKind::StorageFailed` when a record that was
   * durable is damaged.
   */
  [[nodiscard]] tl::expected<consensus::Recovered, Error> Load();

  /**
   * @brief Drops what is damaged and all that follows it, and marks the host
   * as recovering, so that it gives no vote before the group has repaired it.
   */
  [[nodiscard]] tl::expected<void, Error> Repair();

  /**
   * @brief Makes a write durable.
   * @param aWrite The write.
   */
  [[nodiscard]] tl::expected<void, Error> Write(
    const consensus::Persist& aWrite);

  /** @brief The folder; for tests. */
  [[nodiscard]] D& Folder() { return mDisk; }

private:
  explicit BasicLogStore(D aDisk)
    : mDisk{ std::move(aDisk) }
  {
  }

  using Result = tl::expected<void, Error>;

  /** @brief A segment up to its last whole record, and all of its bytes. */
  struct ReadBack
  {
    internal::Segment segment;
    ByteVector bytes;
  };

  [[nodiscard]] Result LoadHardState(consensus::Recovered& aInto);
  [[nodiscard]] Result LoadSnapshot(consensus::Recovered& aInto);
  [[nodiscard]] Result LoadSegments(consensus::Recovered& aInto);
  [[nodiscard]] Result LoadSegment(const std::string& aName,
                                   bool aLast,
                                   consensus::Recovered& aInto);
  [[nodiscard]] tl::expected<ReadBack, Error> ReadSegment(
    const std::string& aName,
    consensus::Recovered& aInto);
  /** @brief Whether what follows the last whole record was durable. */
  [[nodiscard]] static bool IsDamaged(const ReadBack& aRead, bool aLast);
  [[nodiscard]] Result CutTail(const ReadBack& aRead);
  /** @brief Whether what stood at an offset was durable, by the markers. A file
   * of an earlier version has none; there any whole record tells it. */
  [[nodiscard]] static bool WasDurable(ByteView aBytes, std::uint64_t aOffset);
  [[nodiscard]] Result CutUnfinished();
  [[nodiscard]] Result WriteParts(const consensus::Persist& aWrite);
  [[nodiscard]] Result WriteHardState(const consensus::HardState& aHard);
  [[nodiscard]] Result WriteSnapshot(const consensus::Snapshot& aSnapshot);
  [[nodiscard]] Result TruncateFrom(consensus::Index aFrom);
  [[nodiscard]] Result AppendEntries(
    std::span<const consensus::Entry> aEntries);
  [[nodiscard]] Result MarkDurable(internal::Segment& aSegment);
  [[nodiscard]] Result DropCovered(consensus::Index aIndex);
  [[nodiscard]] Result RemoveFrom(std::span<const std::string> aNames);
  [[nodiscard]] tl::expected<std::vector<std::string>, Error> Names(
    std::string_view aPrefix);

  D mDisk;
  std::map<consensus::Index, internal::Segment> mSegments;
  /** Whether the next entry starts a segment. */
  bool mRoll{ true };
  bool mFailed{ false };
};

} // namespace balsampoint::disk

#include "balsampoint/disk/internal/log_store.hpp"
