#pragma once

/**
 * @brief Replicated log of the control state: election, replication, members.
 *
 * Implements Raft with pre-votes, learners and leadership transfer for a small
 * group of voters. Commands are opaque bytes. The module only decides: the
 * daemon sends its messages, writes its records and applies the committed
 * commands to the replicated tables.
 */
namespace balsampoint::consensus {

struct Entry;
struct Log;
struct Member;
struct Membership;
struct Module;
struct Settings;
struct Snapshot;
struct State;
struct Status;

} // namespace balsampoint::consensus
