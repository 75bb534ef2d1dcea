#include "balsampoint/daemon/disk_worker.hpp"

#include "balsampoint/daemon/post.hpp"
#include "balsampoint/trace/event.hpp"

#include <spdlog/spdlog.h>
#include <utility>

namespace balsampoint::daemon {

namespace {

constexpr std::size_t kQueueCapacity = 65536;

void
LogRecovered(const consensus::Recovered& aRecovered)
{
  const auto hard = aRecovered.hard.value_or(consensus::HardState{});
  const auto snapshot =
    aRecovered.snapshot ? aRecovered.snapshot->index : consensus::Index{};
  const auto last =
    aRecovered.entries.empty() ? snapshot : aRecovered.entries.back().index;
  trace::Event{ "log_loaded" }
    .With("state",
          !aRecovered.hard  ? "empty"
          : hard.recovering ? "recovering"
                            : "complete")
    .With("term", hard.term.Value())
    .With("snapshot", snapshot.Value())
    .With("last", last.Value());
}

} // namespace

tl::expected<OpenedStore, Error>
OpenStore(const config::Settings& aSettings)
{
  auto folder = disk::FileDisk::Open(
    aSettings.dataFolder.value_or(std::filesystem::path{}));
  if (!folder) {
    return tl::unexpected(folder.error());
  }
  auto store =
    LogStore::Open(std::move(*folder), { aSettings.cluster, aSettings.host });
  if (!store) {
    return tl::unexpected(store.error());
  }
  auto recovered = store->Load();
  if (!recovered) {
    spdlog::error("the log is damaged and will be repaired from the group: {}",
                  recovered.error().detail);
    recovered = store->Repair().and_then([&] { return store->Load(); });
  }
  if (!recovered) {
    return tl::unexpected(recovered.error());
  }
  LogRecovered(*recovered);
  return OpenedStore{ std::move(*store), std::move(*recovered) };
}

DiskWorker::DiskWorker(ControlMailbox& aMailbox, LogStore aStore)
  : mMailbox{ aMailbox }
  , mStore{ std::move(aStore) }
  , mWrites{ kQueueCapacity }
  , mThread{ [this] { Serve(); } }
{
}

DiskWorker::~DiskWorker()
{
  mWrites.Close();
  mThread.join();
}

void
DiskWorker::Write(consensus::Persist aWrite)
{
  if (!mWrites.Push(std::move(aWrite))) {
    throw Failure{ MakeError(ErrorKind::Overloaded,
                             "the queue of the disk is full") };
  }
}

void
DiskWorker::Serve()
{
  mWrites.Consume([this](const consensus::Persist& aWrite) {
    const auto done = mStore.Write(aWrite);
    if (done) {
      Post(mMailbox,
           consensus::Event{ consensus::WriteCompleted{ aWrite.write } });
      return;
    }
    spdlog::error("the disk refuses writes: {}", done.error().detail);
    Post(mMailbox,
         consensus::Event{
           consensus::StorageFailure{ aWrite.write, done.error() } });
  });
}

} // namespace balsampoint::daemon
