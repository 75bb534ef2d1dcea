#pragma once

#include "balsampoint/core/concepts.hpp"
#include "fake/random.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsampoint::fake {

/**
 * @brief A disk in memory that may lose power at any of its steps.
 *
 * Each write after the last sync of its file is then present, missing or torn,
 * and each name that was created, renamed or removed without a sync of the
 * folder is as before or as after, all independently.
 */
class TornDisk
{
public:
  explicit TornDisk(std::uint64_t aSeed)
    : mRandom{ aSeed }
  {
  }

  tl::expected<void, Error> Append(std::string_view aName, ByteView aBytes)
  {
    const std::string name{ aName };
    if (!mNames.contains(name)) {
      if (!Step()) {
        return PowerLost();
      }
      Link(name, NewFile());
    }
    return WriteTo(mNames.at(name), aBytes);
  }

  tl::expected<void, Error> Sync(std::string_view aName)
  {
    const std::string name{ aName };
    if (!mNames.contains(name) || !Step()) {
      return PowerLost();
    }
    if (mSyncFails) {
      return Refuse(ErrorKind::StorageFailed, "sync failed");
    }
    SyncFile(mNames.at(name));
    // A new file becomes durable with its own sync.
    mDurableNames[name] = mNames.at(name);
    return {};
  }

  tl::expected<void, Error> Replace(std::string_view aName, ByteView aBytes)
  {
    const auto file = NewFile();
    if (auto written = WriteTo(file, aBytes); !written) {
      return written;
    }
    if (mSyncFails) {
      return Refuse(ErrorKind::StorageFailed, "sync failed");
    }
    SyncFile(file);
    if (!Step()) {
      return PowerLost();
    }
    Link(std::string{ aName }, file);
    return SyncFolder();
  }

  tl::expected<void, Error> Truncate(std::string_view aName,
                                     std::uint64_t aSize)
  {
    if (!Step()) {
      return PowerLost();
    }
    if (!mNames.contains(std::string{ aName })) {
      return Refuse(ErrorKind::StorageFailed, "no such file");
    }
    auto& file = mFiles.at(mNames.at(std::string{ aName }));
    file.live.resize(aSize);
    file.pending.push_back({ .offset = aSize, .isCut = true });
    return {};
  }

  tl::expected<void, Error> Remove(std::string_view aName)
  {
    if (!Step()) {
      return PowerLost();
    }
    mNames.erase(std::string{ aName });
    return SyncFolder();
  }

  tl::expected<ByteVector, Error> Read(std::string_view aName)
  {
    const auto found = mNames.find(std::string{ aName });
    if (found == mNames.end()) {
      return Refuse(ErrorKind::NotFound, aName);
    }
    return mFiles.at(found->second).live;
  }

  tl::expected<std::vector<std::string>, Error> List()
  {
    std::vector<std::string> names;
    for (const auto& [name, file] : mNames) {
      names.push_back(name);
    }
    return names;
  }

  /** @brief Makes writes fail halfway, or work again. */
  void FailWrites(bool aFails) { mWritesFail = aFails; }

  /** @brief Makes syncs fail, or work again. */
  void FailSyncs(bool aFails) { mSyncFails = aFails; }

  /** @brief Loses power after some more steps; every call fails from then on.
   */
  void LosePowerAfter(std::uint64_t aSteps) { mStepsLeft = aSteps; }

  [[nodiscard]] bool HasPower() const { return mStepsLeft != 0; }

  /** @brief Applies the loss of power and serves again. */
  void Restart()
  {
    RestartNames();
    for (auto& [id, file] : mFiles) {
      RestartFile(file);
    }
    mStepsLeft = std::nullopt;
  }

  /** @brief Lets a test damage a file as bit rot would. */
  ByteVector& Bytes(const std::string& aName)
  {
    return mFiles.at(mNames.at(aName)).live;
  }

private:
  /** @brief A change of a file since its last sync. */
  struct Pending
  {
    std::uint64_t offset{};
    ByteVector bytes;
    bool isCut{ false };
  };

  struct File
  {
    ByteVector live;
    ByteVector durable;
    std::vector<Pending> pending;
  };

  static tl::unexpected<Error> PowerLost()
  {
    return Refuse(ErrorKind::StorageFailed, "power lost");
  }

  bool Step()
  {
    if (!mStepsLeft) {
      return true;
    }
    *mStepsLeft -= std::min<std::uint64_t>(*mStepsLeft, 1);
    return *mStepsLeft > 0;
  }

  std::uint64_t NewFile()
  {
    mFiles[++mLastFile] = {};
    return mLastFile;
  }

  void Link(const std::string& aName, std::uint64_t aFile)
  {
    mNames[aName] = aFile;
  }

  tl::expected<void, Error> WriteTo(std::uint64_t aFile, ByteView aBytes)
  {
    auto& file = mFiles.at(aFile);
    const auto size = mWritesFail ? aBytes.size() / 2 : aBytes.size();
    const auto written = aBytes.first(size);
    file.pending.push_back(
      { file.live.size(), { written.begin(), written.end() } });
    file.live.insert(file.live.end(), written.begin(), written.end());
    if (!Step()) {
      return PowerLost();
    }
    if (mWritesFail) {
      return Refuse(ErrorKind::StorageFailed, "disk full");
    }
    return {};
  }

  void SyncFile(std::uint64_t aFile)
  {
    auto& file = mFiles.at(aFile);
    file.durable = file.live;
    file.pending.clear();
  }

  tl::expected<void, Error> SyncFolder()
  {
    if (!Step()) {
      return PowerLost();
    }
    if (mSyncFails) {
      return Refuse(ErrorKind::StorageFailed, "sync failed");
    }
    mDurableNames = mNames;
    return {};
  }

  void RestartNames()
  {
    std::map<std::string, std::uint64_t> names;
    for (const auto& [name, file] : mDurableNames) {
      names[name] = file;
    }
    std::vector<std::string> changed;
    for (const auto& [name, file] : mNames) {
      changed.push_back(name);
    }
    for (const auto& [name, file] : mDurableNames) {
      changed.push_back(name);
    }
    for (const auto& name : changed) {
      if (Chance()) {
        continue;
      }
      const auto live = mNames.find(name);
      if (live == mNames.end()) {
        names.erase(name);
      } else {
        names[name] = live->second;
      }
    }
    mNames = names;
    mDurableNames = names;
  }

  void RestartFile(File& aFile)
  {
    auto bytes = aFile.durable;
    const bool allGone = mRandom.Next() % 4 == 0;
    for (const auto& change : aFile.pending) {
      if (allGone || Chance()) {
        continue;
      }
      if (change.isCut) {
        bytes.resize(std::min<std::size_t>(bytes.size(), change.offset));
        continue;
      }
      Tear(bytes, change);
    }
    aFile.live = bytes;
    aFile.durable = bytes;
    aFile.pending.clear();
  }

  /** @brief Puts a write into a file, whole or only a stretch of it. */
  void Tear(ByteVector& aBytes, const Pending& aWrite)
  {
    std::size_t first = 0;
    std::size_t last = aWrite.bytes.size();
    if (Chance() && last > 0) {
      first = mRandom.Next() % last;
      last = first + 1 + mRandom.Next() % (last - first);
      first = Chance() ? 0 : first;
    }
    if (first == last) {
      return;
    }
    aBytes.resize(std::max<std::size_t>(aBytes.size(), aWrite.offset + last));
    std::copy(aWrite.bytes.begin() + static_cast<std::ptrdiff_t>(first),
              aWrite.bytes.begin() + static_cast<std::ptrdiff_t>(last),
              aBytes.begin() +
                static_cast<std::ptrdiff_t>(aWrite.offset + first));
  }

  bool Chance() { return mRandom.Next() % 2 == 0; }

  Random mRandom;
  std::map<std::uint64_t, File> mFiles;
  std::uint64_t mLastFile{};
  std::map<std::string, std::uint64_t> mNames;
  std::map<std::string, std::uint64_t> mDurableNames;
  std::optional<std::uint64_t> mStepsLeft;
  bool mWritesFail{ false };
  bool mSyncFails{ false };
};

} // namespace balsampoint::fake
