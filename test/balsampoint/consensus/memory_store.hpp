#pragma once

#include "balsampoint/consensus/state.hpp"

namespace balsampoint::consensus::test {

/** @brief In-memory replacement for a disk, with injectable write failures. */
class MemoryStore
{
public:
  /**
   * @brief Stores a write.
   * @param aWrite The write.
   */
  tl::expected<void, Error> Write(const Persist& aWrite)
  {
    mBroken = (mBroken && !aWrite.resume) || mFull;
    if (mBroken) {
      return Refuse(ErrorKind::StorageFailed, "disk full");
    }
    if (aWrite.hard) {
      mContent.hard = aWrite.hard;
    }
    if (aWrite.snapshot) {
      mContent.snapshot = aWrite.snapshot;
    }
    if (aWrite.truncate) {
      std::erase_if(mContent.entries, [&aWrite](const Entry& aEntry) {
        return aEntry.index >= aWrite.truncateFrom;
      });
    }
    mContent.entries.insert(
      mContent.entries.end(), aWrite.entries.begin(), aWrite.entries.end());
    return {};
  }

  /** @brief Returns the stored state, as read after a restart. */
  [[nodiscard]] tl::expected<Recovered, Error> Load() const { return mContent; }

  /**
   * @brief Makes writes fail as on a full disk, or succeed again.
   * @param aFull Whether they fail.
   */
  void Fill(bool aFull) { mFull = aFull; }

  /** @brief Deletes the stored state, as if the disk was replaced. */
  void Wipe() { mContent = {}; }

private:
  Recovered mContent;
  bool mFull{ false };
  bool mBroken{ false };
};

} // namespace balsampoint::consensus::test
