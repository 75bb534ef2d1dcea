#pragma once

/** @brief What threads share: queues and published snapshots. */
namespace balsampoint::runtime {

template<typename Event>
class Mailbox;

template<typename Value>
class SnapshotCell;

} // namespace balsampoint::runtime
