#pragma once

#include "balsampoint/consensus/state.hpp"

namespace balsampoint::consensus::test {

/** @brief Keeps writes as a disk would; a test can make it fail. */
class MemoryStore
{
public:
  /**
   * @brief Makes a write durable.
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

  /** @brief What a restart finds. */
  [[nodiscard]] tl::expected<Recovered, Error> Load() const { return mContent; }

  /**
   * @brief Makes writes fail, or work again.
   * @param aFull Whether they fail.
   */
  void Fill(bool aFull) { mFull = aFull; }

  /** @brief Loses everything, as a replaced disk does. */
  void Wipe() { mContent = {}; }

private:
  Recovered mContent;
  bool mFull{ false };
  bool mBroken{ false };
};

} // namespace balsampoint::consensus::test
