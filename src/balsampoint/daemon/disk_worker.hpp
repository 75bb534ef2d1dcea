#pragma once

#include "balsampoint/config/settings.hpp"
#include "balsampoint/daemon/control.hpp"
#include "balsampoint/disk/file_disk.hpp"
#include "balsampoint/disk/log_store.hpp"

#include <memory>
#include <thread>

namespace balsampoint::daemon {

/** @brief The replicated log in a host's data folder. */
using LogStore = disk::BasicLogStore<disk::FileDisk>;

/** @brief A store with what it gave back at the start. */
struct OpenedStore
{
  LogStore store;
  consensus::Recovered recovered;
};

/**
 * @brief Opens the data folder of a host and reads it back.
 *
 * Damage before the end of the log is logged and cut off; the host then gives
 * no vote until the group has repaired it.
 * @param aSettings The host's settings; they name a data folder.
 * @return The store, or why it can't be used.
 */
[[nodiscard]] tl::expected<OpenedStore, Error>
OpenStore(const config::Settings& aSettings);

/** @brief The thread that writes to the disk and posts what is durable. */
class DiskWorker
{
public:
  /**
   * @brief Starts the thread.
   * @param aMailbox Queue into the control thread; outlives the worker.
   * @param aStore The store.
   */
  DiskWorker(ControlMailbox& aMailbox, LogStore aStore);

  DiskWorker(const DiskWorker&) = delete;
  DiskWorker& operator=(const DiskWorker&) = delete;
  DiskWorker(DiskWorker&&) = delete;
  DiskWorker& operator=(DiskWorker&&) = delete;

  /** @brief Finishes the writes that are queued and joins the thread. */
  ~DiskWorker();

  /**
   * @brief Queues a write.
   * @param aWrite The write.
   */
  void Write(consensus::Persist aWrite);

private:
  void Serve();

  ControlMailbox& mMailbox;
  LogStore mStore;
  runtime::Mailbox<consensus::Persist> mWrites;
  std::thread mThread;
};

} // namespace balsampoint::daemon
