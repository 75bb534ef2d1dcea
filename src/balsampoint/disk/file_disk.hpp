#pragma once

#include "balsampoint/core/concepts.hpp"
#include "balsampoint/disk/internal/descriptor.hpp"

#include <filesystem>
#include <set>

namespace balsampoint::disk {

/** @brief The files of one data folder, locked against other processes. */
class FileDisk
{
public:
  /**
   * @brief Locks a folder, which is made if it is missing.
   * @param aFolder The data folder.
   * @return The disk, or `ErrorKind::StorageFailed`, also when another
   * process holds the lock.
   */
  [[nodiscard]] static tl::expected<FileDisk, Error> Open(
    const std::filesystem::path& aFolder);

  /**
   * @brief Adds bytes to the end of a file, which is made if it is missing.
   * @param aName The file.
   * @param aBytes The bytes.
   */
  [[nodiscard]] tl::expected<void, Error> Append(std::string_view aName,
                                                 ByteView aBytes);

  /**
   * @brief Makes a file and its entry in the folder durable.
   * @param aName The file.
   */
  [[nodiscard]] tl::expected<void, Error> Sync(std::string_view aName);

  /**
   * @brief Writes a file whole; durable on return.
   * @param aName The file.
   * @param aBytes Its new content.
   */
  [[nodiscard]] tl::expected<void, Error> Replace(std::string_view aName,
                                                  ByteView aBytes);

  /**
   * @brief Cuts a file.
   * @param aName The file.
   * @param aSize Bytes to keep.
   */
  [[nodiscard]] tl::expected<void, Error> Truncate(std::string_view aName,
                                                   std::uint64_t aSize);

  /**
   * @brief Removes a file; a missing one is no error.
   * @param aName The file.
   */
  [[nodiscard]] tl::expected<void, Error> Remove(std::string_view aName);

  /**
   * @brief Reads a file whole.
   * @param aName The file.
   * @return Its content, or `ErrorKind::NotFound`.
   */
  [[nodiscard]] tl::expected<ByteVector, Error> Read(
    std::string_view aName) const;

  /** @brief Names of all files, in order. */
  [[nodiscard]] tl::expected<std::vector<std::string>, Error> List() const;

private:
  FileDisk(std::filesystem::path aFolder,
           internal::Descriptor aDirectory,
           internal::Descriptor aLock);

  [[nodiscard]] tl::expected<void, Error> SyncFolder();

  std::filesystem::path mFolder;
  internal::Descriptor mDirectory;
  internal::Descriptor mLock;
  /** Files whose entry in the folder isn't durable yet. */
  std::set<std::string, std::less<>> mCreated;
};

static_assert(Disk<FileDisk>);

} // namespace balsampoint::disk
