#include "balsampoint/disk/file_disk.hpp"

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <sys/file.h>
#include <system_error>

namespace balsampoint::disk {

namespace {

constexpr std::string_view kLockName = "lock";
constexpr std::string_view kTemporarySuffix = ".tmp";
constexpr mode_t kFileMode = 0600;

tl::unexpected<Error>
SystemError(std::string_view aWhat, std::string_view aName)
{
  const auto reason = std::generic_category().message(errno);
  return Refuse(ErrorKind::StorageFailed,
                std::string{ aWhat } + " " + std::string{ aName } + ": " +
                  reason);
}

internal::Descriptor
OpenFile(const std::filesystem::path& aPath, int aFlags)
{
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-vararg)
  return internal::Descriptor{ ::open(
    aPath.c_str(), aFlags | O_CLOEXEC, kFileMode) };
}

tl::expected<void, Error>
WriteAll(const internal::Descriptor& aFile,
         ByteView aBytes,
         std::string_view aName)
{
  while (!aBytes.empty()) {
    const auto written = ::write(aFile.Value(), aBytes.data(), aBytes.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written < 0) {
      return SystemError("can't write", aName);
    }
    aBytes = aBytes.subspan(static_cast<std::size_t>(written));
  }
  return {};
}

} // namespace

FileDisk::FileDisk(std::filesystem::path aFolder,
                   internal::Descriptor aDirectory,
                   internal::Descriptor aLock)
  : mFolder{ std::move(aFolder) }
  , mDirectory{ std::move(aDirectory) }
  , mLock{ std::move(aLock) }
{
}

tl::expected<FileDisk, Error>
FileDisk::Open(const std::filesystem::path& aFolder)
{
  std::error_code failed;
  std::filesystem::create_directories(aFolder, failed);
  if (failed) {
    return Refuse(ErrorKind::StorageFailed,
                  "can't make " + aFolder.string() + ": " + failed.message());
  }
  auto directory = OpenFile(aFolder, O_RDONLY | O_DIRECTORY);
  auto lock = OpenFile(aFolder / kLockName, O_RDWR | O_CREAT);
  if (!directory.Valid() || !lock.Valid()) {
    return SystemError("can't open", aFolder.string());
  }
  if (::flock(lock.Value(), LOCK_EX | LOCK_NB) != 0) {
    return SystemError("another process holds the lock of", aFolder.string());
  }
  FileDisk disk{ aFolder, std::move(directory), std::move(lock) };
  for (const auto& entry :
       std::filesystem::directory_iterator{ aFolder, failed }) {
    if (entry.path().extension() == kTemporarySuffix) {
      std::filesystem::remove(entry.path(), failed);
    }
  }
  return disk;
}

tl::expected<void, Error>
FileDisk::SyncFolder()
{
  if (::fsync(mDirectory.Value()) != 0) {
    return SystemError("can't sync", mFolder.string());
  }
  mCreated.clear();
  return {};
}

tl::expected<void, Error>
FileDisk::Append(std::string_view aName, ByteView aBytes)
{
  const auto path = mFolder / aName;
  if (!std::filesystem::exists(path)) {
    mCreated.emplace(aName);
  }
  const auto file = OpenFile(path, O_WRONLY | O_APPEND | O_CREAT);
  if (!file.Valid()) {
    return SystemError("can't open", aName);
  }
  return WriteAll(file, aBytes, aName);
}

tl::expected<void, Error>
FileDisk::Sync(std::string_view aName)
{
  const auto file = OpenFile(mFolder / aName, O_RDONLY);
  if (!file.Valid() || ::fsync(file.Value()) != 0) {
    return SystemError("can't sync", aName);
  }
  return mCreated.contains(aName) ? SyncFolder() : tl::expected<void, Error>{};
}

tl::expected<void, Error>
FileDisk::Replace(std::string_view aName, ByteView aBytes)
{
  const auto path = mFolder / aName;
  auto temporary = path;
  temporary += kTemporarySuffix;
  const auto file = OpenFile(temporary, O_WRONLY | O_CREAT | O_TRUNC);
  if (!file.Valid()) {
    return SystemError("can't open", aName);
  }
  if (auto written = WriteAll(file, aBytes, aName); !written) {
    return written;
  }
  if (::fsync(file.Value()) != 0) {
    return SystemError("can't sync", aName);
  }
  std::error_code failed;
  std::filesystem::rename(temporary, path, failed);
  if (failed) {
    return Refuse(ErrorKind::StorageFailed,
                  "can't rename to " + path.string() + ": " + failed.message());
  }
  return SyncFolder();
}

tl::expected<void, Error>
FileDisk::Truncate(std::string_view aName, std::uint64_t aSize)
{
  const auto file = OpenFile(mFolder / aName, O_WRONLY);
  if (!file.Valid() ||
      ::ftruncate(file.Value(), static_cast<off_t>(aSize)) != 0) {
    return SystemError("can't cut", aName);
  }
  return {};
}

tl::expected<void, Error>
FileDisk::Remove(std::string_view aName)
{
  std::error_code failed;
  std::filesystem::remove(mFolder / aName, failed);
  if (failed) {
    return Refuse(ErrorKind::StorageFailed,
                  "can't remove " + std::string{ aName } + ": " +
                    failed.message());
  }
  return SyncFolder();
}

tl::expected<ByteVector, Error>
FileDisk::Read(std::string_view aName) const
{
  std::ifstream file{ mFolder / aName, std::ios::binary };
  if (!file) {
    return Refuse(ErrorKind::NotFound, aName);
  }
  const std::string text{ std::istreambuf_iterator<char>{ file }, {} };
  if (file.bad()) {
    return Refuse(ErrorKind::StorageFailed,
                  "can't read " + std::string{ aName });
  }
  const auto bytes = std::as_bytes(std::span{ text });
  return ByteVector{ bytes.begin(), bytes.end() };
}

tl::expected<std::vector<std::string>, Error>
FileDisk::List() const
{
  std::vector<std::string> names;
  std::error_code failed;
  for (const auto& entry :
       std::filesystem::directory_iterator{ mFolder, failed }) {
    const auto name = entry.path().filename().string();
    if (!entry.is_regular_file(failed) || name == kLockName) {
      continue;
    }
    names.push_back(name);
  }
  if (failed) {
    return Refuse(ErrorKind::StorageFailed,
                  "can't list " + mFolder.string() + ": " + failed.message());
  }
  std::ranges::sort(names);
  return names;
}

} // namespace balsampoint::disk
