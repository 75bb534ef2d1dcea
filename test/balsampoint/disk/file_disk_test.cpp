#include "balsampoint/disk/file_disk.hpp"

#include <criterion/criterion.h>
#include <filesystem>

using namespace balsampoint;
using balsampoint::disk::FileDisk;

namespace {

/** @brief A folder that is removed at the end of a test. */
class TemporaryFolder
{
public:
  TemporaryFolder()
  {
    auto pattern =
      (std::filesystem::temp_directory_path() / "disk-XXXXXX").string();
    mPath = ::mkdtemp(pattern.data());
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  ~TemporaryFolder() { std::filesystem::remove_all(mPath); }

  const std::filesystem::path& Path() const { return mPath; }

private:
  std::filesystem::path mPath;
};

ByteVector
Bytes(std::string_view aText)
{
  const auto bytes = std::as_bytes(std::span{ aText });
  return { bytes.begin(), bytes.end() };
}

} // namespace

Test(file_disk, keeps_files_across_a_reopening)
{
  const TemporaryFolder folder;
  {
    auto disk = FileDisk::Open(folder.Path() / "data");
    cr_assert(disk->Append("log", Bytes("one")).has_value());
    cr_assert(disk->Append("log", Bytes("two")).has_value());
    cr_assert(disk->Sync("log").has_value());
    cr_assert(disk->Replace("vote", Bytes("a")).has_value());
    cr_assert(disk->Replace("vote", Bytes("b")).has_value());
  }
  auto disk = FileDisk::Open(folder.Path() / "data");
  cr_assert(*disk->Read("log") == Bytes("onetwo"));
  cr_assert(*disk->Read("vote") == Bytes("b"));
  cr_assert_eq(disk->List()->size(), 2);
  cr_assert(disk->Truncate("log", 3).has_value());
  cr_assert(*disk->Read("log") == Bytes("one"));
  cr_assert(disk->Remove("log").has_value());
  cr_assert(disk->Read("log").error().kind == ErrorKind::NotFound);
}

Test(file_disk, refuses_a_locked_folder)
{
  const TemporaryFolder folder;
  const auto first = FileDisk::Open(folder.Path());
  cr_assert(first.has_value());
  cr_assert(FileDisk::Open(folder.Path()).error().kind ==
            ErrorKind::StorageFailed);
}

Test(file_disk, says_when_the_device_is_full)
{
  const TemporaryFolder folder;
  auto disk = FileDisk::Open(folder.Path());
  std::filesystem::create_symlink("/dev/full", folder.Path() / "log");
  const auto written = disk->Append("log", Bytes("x"));
  cr_assert(written.error().kind == ErrorKind::StorageFailed);
}
