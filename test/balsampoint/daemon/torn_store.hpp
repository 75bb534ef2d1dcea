#pragma once

#include "balsampoint/disk/log_store.hpp"
#include "fake/random.hpp"
#include "fake/torn_disk.hpp"

#include <utility>

namespace balsampoint::daemon::test {

/** @brief Keeps the log of one control host on a disk that may lose power in
 * the middle of a write. */
class TornStore
{
public:
  explicit TornStore(std::uint64_t aSeed = 0)
    : mRandom{ aSeed }
    , mStore{ NewStore() }
  {
  }

  tl::expected<void, Error> Write(const consensus::Persist& aWrite)
  {
    return mStore.Write(aWrite);
  }

  /** @brief Reads everything back, and repairs a damaged log as a daemon does.
   */
  tl::expected<consensus::Recovered, Error> Load()
  {
    auto loaded = mStore.Load();
    if (loaded) {
      return loaded;
    }
    ++repairs;
    return mStore.Repair().and_then([this] { return mStore.Load(); });
  }

  void Wipe() { mStore = NewStore(); }

  /**
   * @brief Loses power during a write.
   * @param aWrite The write; null if none is in progress.
   */
  void LosePower(const consensus::Persist* aWrite)
  {
    constexpr std::uint64_t kSteps = 12;
    auto& disk = mStore.Folder();
    if (aWrite != nullptr) {
      disk.LosePowerAfter(1 + mRandom.Next() % kSteps);
      std::ignore = mStore.Write(*aWrite);
    }
    disk.Restart();
  }

  /** Logs that were found damaged; no power loss may do that. */
  int repairs{};

private:
  using Store = disk::BasicLogStore<fake::TornDisk>;

  Store NewStore()
  {
    return *Store::Open(
      fake::TornDisk{ mRandom.Next() },
      disk::FolderOwner{ ClusterId{ "cluster" }, HostId{ "host" } });
  }

  fake::Random mRandom;
  Store mStore;
};

} // namespace balsampoint::daemon::test
