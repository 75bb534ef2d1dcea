#pragma once

/** @brief Communication between threads: queues, replies and snapshots. */
namespace balsampoint::runtime {

template<typename Event>
class Mailbox;

template<typename Value>
class SnapshotCell;

} // namespace balsampoint::runtime
