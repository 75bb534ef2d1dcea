#include "balsampoint/consensus/group.hpp"
#include "balsampoint/disk/log_store.hpp"
#include "fake/disk.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::consensus;
using namespace balsampoint::consensus::test;
using balsampoint::disk::FolderOwner;
using std::chrono::seconds;

namespace {

using Store = balsampoint::disk::BasicLogStore<fake::MemoryDisk>;

const FolderOwner kOwner{ ClusterId{ "cluster" }, HostId{ "a" } };
const std::string kSegment = "log-00000000000000000001";

Persist
WriteOf(std::uint64_t aFirst, std::uint64_t aCount)
{
  Persist write{ .hard = HardState{ Term{ 1 }, HostId{ "a" } } };
  for (std::uint64_t i = aFirst; i < aFirst + aCount; ++i) {
    write.entries.push_back(Entry{ .index = Index{ i },
                                   .term = Term{ 1 },
                                   .kind = EntryKind::Command,
                                   .command = BytesOf("command") });
  }
  return write;
}

Store
NewStore()
{
  return *Store::Open({}, kOwner);
}

/** @brief Keeps a member's writes on a disk that forgets what isn't synced. */
class DiskStore
{
public:
  tl::expected<void, Error> Write(const Persist& aWrite)
  {
    return mStore.Write(aWrite);
  }
  tl::expected<Recovered, Error> Load()
  {
    mStore.Folder().Crash();
    auto loaded = mStore.Load();
    if (loaded) {
      return loaded;
    }
    ++repairs;
    return mStore.Repair().and_then([this] { return mStore.Load(); });
  }
  fake::MemoryDisk& Folder() { return mStore.Folder(); }

  int repairs{};

private:
  Store mStore{ NewStore() };
};

} // namespace

Test(log_store, gives_back_what_was_written)
{
  auto store = NewStore();
  cr_assert(store.Write(WriteOf(1, 3)).has_value());
  store.Folder().Crash();
  const auto recovered = store.Load();
  cr_assert_eq(recovered->entries.size(), 3);
  cr_assert(recovered->hard == HardState(Term{ 1 }, HostId{ "a" }, false));
}

Test(log_store, cuts_a_torn_tail_at_every_byte)
{
  for (std::size_t lost = 1;; ++lost) {
    auto store = NewStore();
    cr_assert(store.Write(WriteOf(1, 2)).has_value());
    const auto whole = store.Folder().Bytes(kSegment).size();
    cr_assert(store.Write(WriteOf(3, 1)).has_value());
    auto& bytes = store.Folder().Bytes(kSegment);
    if (lost > bytes.size() - whole) {
      break;
    }
    bytes.resize(bytes.size() - lost);
    if (lost <= disk::kRecordHeaderBytes) {
      // Only the marker behind the entry is torn.
      cr_assert_eq(store.Load()->entries.size(), 3);
      continue;
    }
    cr_assert_eq(store.Load()->entries.size(), 2);
    cr_assert_eq(store.Folder().Bytes(kSegment).size(), whole);
    cr_assert(store.Write(WriteOf(3, 1)).has_value());
    cr_assert_eq(store.Load()->entries.size(), 3);
  }
}

Test(log_store, refuses_damage_before_the_end_and_repairs_on_demand)
{
  auto store = NewStore();
  cr_assert(store.Write(WriteOf(1, 5)).has_value());
  store.Folder().Bytes(kSegment).at(40) ^= std::byte{ 1 };
  const auto loaded = store.Load();
  cr_assert(loaded.error().kind == ErrorKind::StorageFailed);
  cr_assert(loaded.error().detail.find("damaged at byte") != std::string::npos);
  cr_assert(store.Repair().has_value());
  const auto repaired = store.Load();
  cr_assert(repaired->hard->recovering);
  cr_assert(repaired->hard->term == Term{ 1 });
  cr_assert(repaired->entries.empty());
}

// Guards against a repair that drops the whole file of a damaged entry.
Test(log_store, a_repair_keeps_the_entries_before_the_damage)
{
  for (const std::uint64_t damaged : { 1, 2, 3, 4, 5, 6 }) {
    auto store = NewStore();
    for (std::uint64_t index = 1; index <= 6; ++index) {
      if (index == 4) {
        cr_assert(store.Load().has_value());
      }
      cr_assert(store.Write(WriteOf(index, 1)).has_value());
    }
    const auto first = damaged < 4 ? 1 : 4;
    auto& bytes =
      store.Folder().Bytes("log-0000000000000000000" + std::to_string(first));
    const auto each = bytes.size() / 3;
    bytes.at((damaged - first) * each + each / 2 + 8) ^= std::byte{ 1 };
    cr_assert_not(store.Load().has_value());
    cr_assert(store.Repair().has_value());
    const auto repaired = store.Load();
    cr_assert(repaired->hard->recovering);
    cr_assert_eq(repaired->entries.size(),
                 damaged - 1,
                 "%lu: %zu",
                 damaged,
                 repaired->entries.size());
  }
}

Test(log_store, refuses_a_damaged_vote_and_a_missing_one)
{
  auto store = NewStore();
  cr_assert(store.Write(WriteOf(1, 1)).has_value());
  store.Folder().Bytes("term-and-vote").back() ^= std::byte{ 1 };
  cr_assert_not(store.Load().has_value());
  cr_assert(store.Folder().Remove("term-and-vote").has_value());
  cr_assert_not(store.Load().has_value());
}

Test(log_store, a_snapshot_drops_the_segments_it_covers)
{
  auto store = NewStore();
  cr_assert(store.Write(WriteOf(1, 10)).has_value());
  Persist snapshot{ .snapshot =
                      Snapshot{ Index{ 10 }, Term{ 1 }, {}, BytesOf("t") } };
  cr_assert(store.Write(snapshot).has_value());
  cr_assert(store.Write(WriteOf(11, 2)).has_value());
  const auto recovered = store.Load();
  cr_assert(recovered->snapshot->index == Index{ 10 });
  cr_assert_eq(recovered->entries.size(), 2);
  cr_assert(store.Folder().Read(kSegment).error().kind == ErrorKind::NotFound);
}

Test(log_store, truncates_within_and_across_segments)
{
  auto store = NewStore();
  cr_assert(store.Write(WriteOf(1, 10)).has_value());
  Persist snapshot{ .snapshot =
                      Snapshot{ Index{ 5 }, Term{ 1 }, {}, BytesOf("t") } };
  cr_assert(store.Write(snapshot).has_value());
  cr_assert(store.Write(WriteOf(11, 5)).has_value());
  auto write = WriteOf(8, 1);
  write.truncate = true;
  write.truncateFrom = Index{ 8 };
  cr_assert(store.Write(write).has_value());
  const auto recovered = store.Load();
  cr_assert_eq(recovered->entries.size(), 3);
  cr_assert(recovered->entries.back().index == Index{ 8 });
}

Test(log_store, refuses_writes_after_a_failure_until_one_resumes)
{
  auto store = NewStore();
  cr_assert(store.Write(WriteOf(1, 1)).has_value());
  store.Folder().FailSync(true);
  cr_assert_not(store.Write({ .entries = WriteOf(2, 1).entries }).has_value());
  store.Folder().FailSync(false);
  cr_assert_not(store.Write({ .entries = WriteOf(3, 1).entries }).has_value());
  auto resume = WriteOf(2, 2);
  resume.resume = true;
  resume.truncate = true;
  resume.truncateFrom = Index{ 2 };
  cr_assert(store.Write(resume).has_value());
  store.Folder().Crash();
  cr_assert_eq(store.Load()->entries.size(), 3);
}

Test(log_store, refuses_the_folder_of_another_host_or_cluster)
{
  auto store = NewStore();
  const FolderOwner host{ kOwner.cluster, HostId{ "b" } };
  const FolderOwner cluster{ ClusterId{ "other" }, kOwner.host };
  cr_assert_not(Store::Open(store.Folder(), host).has_value());
  cr_assert_not(Store::Open(store.Folder(), cluster).has_value());
  cr_assert(Store::Open(store.Folder(), kOwner).has_value());
  fake::MemoryDisk foreign;
  cr_assert(foreign.Replace("file", BytesOf("x")).has_value());
  cr_assert_not(Store::Open(foreign, kOwner).has_value());
}

Test(log_store, a_group_restarts_from_disks_with_one_log_damaged)
{
  BasicGroup<DiskStore> group{ 3, 0, 31 };
  auto leader = group.Elect();
  for (int i = 0; i < 300; ++i) {
    cr_assert(group.Commit(leader, "change " + std::to_string(i)).done);
  }
  const auto table = group.hosts.at(leader).table;
  for (auto& [id, host] : group.hosts) {
    group.Kill(id);
  }
  auto& damaged = group.hosts.at(HostId{ "b" }).store;
  damaged.Folder().Bytes(kSegment).at(100) ^= std::byte{ 1 };
  auto rotten = damaged.Folder().Bytes(kSegment);
  cr_assert(damaged.Folder().Replace(kSegment, rotten).has_value());
  for (auto& [id, host] : group.hosts) {
    group.Start(id);
  }
  leader = group.Elect();
  group.Run(seconds{ 5 });
  cr_assert_neq(leader, HostId{ "b" });
  cr_assert_eq(damaged.repairs, 1);
  cr_assert_eq(group.hosts.at(HostId{ "b" }).table, table);
  cr_assert_not(group.hosts.at(HostId{ "b" }).state.hard.recovering);
  cr_assert(group.violations.empty());
}
