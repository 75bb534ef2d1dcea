#pragma once

#include "balsampoint/core/concepts.hpp"

#include <map>

namespace balsampoint::fake {

/** @brief A disk in memory that loses what was not synced when it crashes. */
class MemoryDisk
{
public:
  tl::expected<void, Error> Append(std::string_view aName, ByteView aBytes)
  {
    if (mFull) {
      return Refuse(ErrorKind::StorageFailed, "disk full");
    }
    auto& file = mLive[std::string{ aName }];
    file.insert(file.end(), aBytes.begin(), aBytes.end());
    return {};
  }

  tl::expected<void, Error> Sync(std::string_view aName)
  {
    if (mSyncFails) {
      return Refuse(ErrorKind::StorageFailed, "sync failed");
    }
    const std::string name{ aName };
    mDurable[name] = mLive[name];
    ++mSyncs;
    return {};
  }

  tl::expected<void, Error> Replace(std::string_view aName, ByteView aBytes)
  {
    if (mFull || mSyncFails) {
      return Refuse(ErrorKind::StorageFailed, "disk full");
    }
    const std::string name{ aName };
    mLive[name] = ByteVector(aBytes.begin(), aBytes.end());
    mDurable[name] = mLive[name];
    ++mSyncs;
    return {};
  }

  tl::expected<void, Error> Truncate(std::string_view aName,
                                     std::uint64_t aSize)
  {
    mLive[std::string{ aName }].resize(aSize);
    return {};
  }

  tl::expected<void, Error> Remove(std::string_view aName)
  {
    mLive.erase(std::string{ aName });
    mDurable.erase(std::string{ aName });
    return {};
  }

  tl::expected<ByteVector, Error> Read(std::string_view aName)
  {
    const auto found = mLive.find(std::string{ aName });
    if (found == mLive.end()) {
      return Refuse(ErrorKind::NotFound, aName);
    }
    return found->second;
  }

  tl::expected<std::vector<std::string>, Error> List()
  {
    std::vector<std::string> names;
    for (const auto& [name, bytes] : mLive) {
      names.push_back(name);
    }
    return names;
  }

  /** @brief Loses everything that was not synced. */
  void Crash() { mLive = mDurable; }

  /**
   * @brief Makes writes fail, or work again.
   * @param aFull Whether they fail.
   */
  void Fill(bool aFull) { mFull = aFull; }

  /**
   * @brief Makes syncs fail, or work again.
   * @param aFails Whether they fail.
   */
  void FailSync(bool aFails) { mSyncFails = aFails; }

  /**
   * @brief Lets a test damage a file as bit rot would.
   * @param aName The file.
   */
  ByteVector& Bytes(const std::string& aName) { return mLive[aName]; }

  /** @brief Number of syncs that worked. */
  [[nodiscard]] std::uint64_t Syncs() const { return mSyncs; }

private:
  std::map<std::string, ByteVector> mLive;
  std::map<std::string, ByteVector> mDurable;
  std::uint64_t mSyncs{};
  bool mFull{ false };
  bool mSyncFails{ false };
};

} // namespace balsampoint::fake
