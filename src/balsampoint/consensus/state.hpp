#pragma once

#include "balsampoint/consensus/fwd.hpp"
#include "balsampoint/consensus/message.hpp"
#include "balsampoint/consensus/status.hpp"
#include "balsampoint/core/error.hpp"
#include "balsampoint/core/split_mix.hpp"
#include "balsampoint/core/time.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace balsampoint::consensus {

/** @brief Configuration of one member, fixed while it runs. */
struct Settings
{
  HostId self;
  /** Voters of a group whose log is still empty. */
  Membership initialMembers;
  Duration heartbeatInterval{ std::chrono::milliseconds{ 250 } };
  /** Bounds of the random election timeout: the time without contact to a
   * leader after which a voter starts a pre-vote. */
  Duration electionTimeoutMin{ std::chrono::milliseconds{ 800 } };
  Duration electionTimeoutMax{ std::chrono::milliseconds{ 1400 } };
  /** Bounds of the shorter timeout used until a voter knows a first leader
   * after its start. */
  Duration firstElectionTimeoutMin{ std::chrono::milliseconds{ 100 } };
  Duration firstElectionTimeoutMax{ std::chrono::milliseconds{ 350 } };
  /** Number of entries applied since the last snapshot that triggers a new one.
   */
  std::uint64_t snapshotAfterEntries{ 1000 };
  /** Number of entries retained before a snapshot, so that members that lag
   * slightly need no snapshot. */
  std::uint64_t retainedEntries{ 200 };
  std::size_t maxAppendBytes{ std::size_t{ 256 } * 1024 };
  std::size_t snapshotPartBytes{ std::size_t{ 64 } * 1024 };
  std::size_t maxCommandBytes{ std::size_t{ 4 } * 1024 * 1024 };
  /** Number of members that the leader grows the group to while standby hosts
   * are available; zero keeps the current number. */
  std::size_t targetMembers{ 0 };
  /** Time without contact after which the leader replaces a voter by a standby
   * host. */
  Duration replaceTimeout{ std::chrono::minutes{ 2 } };
  /** Delay between attempts to write to a failed disk. */
  Duration storageRetryInterval{ std::chrono::seconds{ 2 } };
  /** Time after which the leader abandons a hand-over. */
  Duration handOverTimeout{ std::chrono::seconds{ 2 } };
};

/** @brief A host with a disk that can replace a lost member. */
struct StandbyHost
{
  HostId host;
  ZoneId zone;

  auto operator<=>(const StandbyHost&) const = default;
};

/** @brief State read from the disk at startup. */
struct Recovered
{
  /** Absent if the disk was never used. */
  std::optional<HardState> hard;
  std::optional<Snapshot> snapshot;
  std::vector<Entry> entries;
};

/** @brief The log entries in memory, and the position just before the first. */
struct Log
{
  Index baseIndex;
  Term baseTerm;
  Membership baseMembers;
  std::deque<Entry> entries;
};

/** @brief Replication progress of another member, tracked by the leader. */
struct Progress
{
  /** Next entry to send. */
  Index next;
  /** Last entry known to be durable on the member. */
  Index match;
  /** Latest round that the member has answered. */
  Round round;
  Instant lastContactAt{};
  /** Last sign of life, including those that this host learned of before it
   * led; not after `lastContactAt`. */
  Instant lastHeardAt{};
  /** Bytes of the current snapshot that the member has received. */
  std::uint64_t snapshotReceived{};
  /** Whether the member has replied since the last heartbeat. */
  bool answered{ false };
  /** Whether the member may not vote yet, by its last reply. */
  bool recovering{ true };
};

/** @brief An entry proposed on this host whose outcome is not known yet. */
struct Proposal
{
  Term term;
  Ticket ticket;
};

/** @brief A `ConfirmLeader` request that waits for a quorum of replies. */
struct PendingRead
{
  Ticket ticket;
  Index index;
  Round round;
};

/** @brief A write in progress and the last entry that it makes durable. */
struct PendingWrite
{
  WriteNumber write;
  Index lastIndex;
};

/** @brief Sends a message to another member. */
struct Send
{
  HostId to;
  Message message;
};

/** @brief A message to be sent once a write is durable. */
struct DeferredSend
{
  WriteNumber write;
  Send send;
};

/** @brief The parts of a snapshot received so far; index zero if none. */
struct IncomingSnapshot
{
  Index index;
  Term term;
  ByteVector data;
};

/** @brief State of one member, owned by the control thread. */
struct State
{
  Settings settings;
  HardState hard;
  Log log;
  /** Members as of the last log entry, whether committed or not. */
  Membership members;
  /** Entry that `members` was taken from, or the base of the log. */
  Index membersIndex;
  Index committed;
  Index applied;
  Snapshot snapshot;

  HostId leader;
  Instant leaderContactAt{};
  Instant electionDeadline{ kNever };
  Instant heartbeatDeadline{ kNever };
  /** Voters that granted the current pre-vote or vote. */
  std::set<HostId> grantedVotes;
  /** Random generator for election timeouts. */
  SplitMix64 random;

  std::map<HostId, Progress> progress;
  /** Last sign of life of each other member that this host knows of. */
  std::map<HostId, Instant> lastHeardAt;
  Round round;
  /** First entry that this host appended in its term as leader. */
  Index termStart;
  std::map<Index, Proposal> proposals;
  std::vector<PendingRead> pendingReads;
  IncomingSnapshot incomingSnapshot;

  WriteNumber lastWrite;
  WriteNumber durableWrite;
  /** Last entry that is durable on this host. */
  Index durableIndex;
  std::deque<PendingWrite> pendingWrites;
  std::deque<DeferredSend> deferredSends;
  /** First write that can end a storage failure; failures of earlier writes are
   * ignored. */
  WriteNumber resumeWrite;
  Instant storageRetryAt{ kNever };

  /** Successor that leadership is being handed to; empty if none. */
  HostId handOverTo;
  Instant handOverDeadline{ kNever };
  std::set<StandbyHost> standbyHosts;

  Role role{ Role::Follower };
  /** Whether a leader of the current term is known; cleared when a pre-vote
   * starts. */
  bool leaderKnown{ false };
  /** Whether any leader has been known since this host started. */
  bool anyLeaderKnown{ false };
  bool snapshotRequested{ false };
  bool storageFailed{ false };
  bool handOverStarted{ false };
};

/** @brief A message from another member was received. */
struct Received
{
  HostId from;
  Message message;
};

/** @brief A write, and every write before it, is durable. */
struct WriteCompleted
{
  WriteNumber write;
};

/** @brief A write could not be made durable. */
struct StorageFailure
{
  WriteNumber write;
  Error error;
};

/** @brief Requests replication of a command; answered by `Apply` or `Refused`
 * with the same ticket. */
struct Propose
{
  Ticket ticket;
  ByteVector command;
};

/** @brief Requests to add a host as a learner; it is promoted to voter once it
 * has caught up. */
struct AddMember
{
  Ticket ticket;
  HostId host;
  ZoneId zone;
};

/** @brief Requests to remove a member. */
struct RemoveMember
{
  Ticket ticket;
  HostId host;
};

/** @brief Requests to replace a member by a new host. */
struct ReplaceMember
{
  Ticket ticket;
  HostId host;
  HostId with;
  ZoneId zone;
};

/** @brief Requests confirmation by a quorum that this host is still the leader,
 * for a linearizable read. */
struct ConfirmLeader
{
  Ticket ticket;
};

/** @brief Requests a transfer of leadership before a planned stop; answered by
 * `HandOverEnded`. */
struct HandOver
{};

/** @brief Sets the standby hosts that can replace a lost voter. */
struct StandbyHostsUpdated
{
  std::set<StandbyHost> standbyHosts;
};

/** @brief Requests the status of the group; answered by `StatusReady`. */
struct StatusRequested
{};

/** @brief The encoded tables that answer `TakeSnapshot`. */
struct SnapshotTaken
{
  Index index;
  ByteVector data;
};

/** @brief Input of the module. */
using Event = std::variant<Received,
                           WriteCompleted,
                           StorageFailure,
                           Propose,
                           AddMember,
                           RemoveMember,
                           ReplaceMember,
                           ConfirmLeader,
                           HandOver,
                           StandbyHostsUpdated,
                           SnapshotTaken,
                           StatusRequested>;

/**
 * @brief Writes to the disk; answered by `WriteCompleted` or `StorageFailure`.
 *
 * Writes must be carried out in the order of their numbers.
 */
struct Persist
{
  WriteNumber write;
  std::optional<HardState> hard;
  /** Replaces the stored snapshot; entries up to its index may be dropped. */
  std::optional<Snapshot> snapshot;
  /** Whether to delete the entries from `truncateFrom` on before `entries` are
   * appended. */
  bool truncate{ false };
  Index truncateFrom;
  /** Whether this write repeats everything that may not be durable; after a
   * failure the disk refuses all other writes. */
  bool resume{ false };
  std::vector<Entry> entries;
};

/** @brief Applies one committed command to the replicated tables. */
struct Apply
{
  Index index;
  Term term;
  ByteVector command;
  /** Ticket of the proposal made on this host; zero for other hosts' entries.
   */
  Ticket ticket;
};

/** @brief Replaces the replicated tables by the content of a snapshot. */
struct Restore
{
  Index index;
  ByteVector data;
};

/** @brief Requests the encoded tables after all preceding `Apply` actions;
 * answered by `SnapshotTaken`. */
struct TakeSnapshot
{
  Index index;
};

/** @brief Answers a request that failed; `Error::executed` tells whether it may
 * still have been carried out. */
struct Refused
{
  Ticket ticket;
  Error error;
};

/** @brief Answers a membership request once its entry is committed. */
struct MembersChanged
{
  Ticket ticket;
  Membership members;
};

/** @brief Answers `ConfirmLeader`; all entries up to `index` have been passed
 * to `Apply`. */
struct LeaderConfirmed
{
  Ticket ticket;
  Index index;
};

/** @brief Reports a new leader or term; `leader` is empty if unknown. */
struct LeaderChanged
{
  Term term;
  HostId leader;
};

/** @brief Reports that this host is the leader and has applied all entries
 * committed before its term. */
struct LeadershipEstablished
{
  Term term;
  HostId leader;
};

/** @brief Reports the members as of the last log entry, at startup and on each
 * change. */
struct MembersUpdated
{
  /** Entry that the members were taken from, or the base of the log. */
  Index index;
  Membership members;
};

/** @brief Reports that an election timeout passed without a leader. */
struct LeaderMissing
{
  Term term;
  /** Whether this host may not vote until a leader has repaired its log. */
  bool recovering{ false };
  /** Voters that granted the election that ended without a quorum. */
  std::set<HostId> granted;

  bool operator==(const LeaderMissing&) const = default;
};

/** @brief Reports that this host has caught up and votes again. */
struct RecoveryEnded
{
  Index index;
};

/** @brief Reports the end of a hand-over. */
struct HandOverEnded
{
  /** Whether this host is no longer the leader. */
  bool done{ false };
};

/** @brief Answers `StatusRequested`. */
struct StatusReady
{
  Status status;
};

/** @brief Output of the module, carried out by the daemon. */
using Action = std::variant<Send,
                            Persist,
                            Apply,
                            Restore,
                            TakeSnapshot,
                            Refused,
                            MembersChanged,
                            LeaderConfirmed,
                            LeaderChanged,
                            LeadershipEstablished,
                            MembersUpdated,
                            LeaderMissing,
                            RecoveryEnded,
                            HandOverEnded,
                            StatusReady>;

/** @brief Actions produced by a command, in order. */
using Actions = std::vector<Action>;

} // namespace balsampoint::consensus
