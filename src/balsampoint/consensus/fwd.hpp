#pragma once

/**
 * @brief Replicated log of the control state: election, replication, members.
 *
 * A small group of voters agrees on a sequence of opaque commands. The module
 * decides; the daemon sends its messages, writes its records and applies the
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
