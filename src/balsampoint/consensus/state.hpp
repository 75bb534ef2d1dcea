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

/** @brief Fixed values of one host. */
struct Settings
{
  HostId self;
  /** Voters of a cluster that has no state yet. */
  Membership initialMembers;
  Duration heartbeat{ std::chrono::milliseconds{ 250 } };
  /** Silence of the leader after which a voter stands for election. */
  Duration electionMin{ std::chrono::milliseconds{ 800 } };
  Duration electionMax{ std::chrono::milliseconds{ 1400 } };
  /** Time after which a voter that has heard no leader since its start asks
   * whether it would be elected. */
  Duration firstElectionMin{ std::chrono::milliseconds{ 100 } };
  Duration firstElectionMax{ std::chrono::milliseconds{ 350 } };
  /** Entries applied since the last snapshot that call for a new one. */
  std::uint64_t compactAfter{ 1000 };
  /** Entries kept behind a snapshot for members a little behind. */
  std::uint64_t keptBehind{ 200 };
  std::size_t maxAppendBytes{ std::size_t{ 256 } * 1024 };
  std::size_t snapshotPartBytes{ std::size_t{ 64 } * 1024 };
  std::size_t maxCommandBytes{ std::size_t{ 4 } * 1024 * 1024 };
  /** Voters that the group grows to where spares are known; zero for as many
   * as it has. */
  std::size_t voters{ 0 };
  /** Silence of a voter after which a spare takes its place. */
  Duration replaceAfter{ std::chrono::minutes{ 2 } };
  /** Pause before a failed disk is tried again. */
  Duration storageRetry{ std::chrono::seconds{ 2 } };
  /** Limit on one hand-over. */
  Duration handOverLimit{ std::chrono::seconds{ 2 } };
};

/** @brief A host with a disk that may become a member. */
struct Spare
{
  HostId host;
  ZoneId zone;

  auto operator<=>(const Spare&) const = default;
};

/** @brief What the disk gave back at the start. */
struct Recovered
{
  /** Nothing on a disk that was never used. */
  std::optional<HardState> hard;
  std::optional<Snapshot> snapshot;
  std::vector<Entry> entries;
};

/** @brief The entries held in memory and what stands before them. */
struct Log
{
  Index baseIndex;
  Term baseTerm;
  Membership baseMembers;
  std::deque<Entry> entries;
};

/** @brief What a leader knows of one other member. */
struct Progress
{
  Index next;
  /** Last entry durable there. */
  Index match;
  /** Newest round it has answered. */
  Round round;
  Instant heardAt{};
  /** Bytes of the snapshot that it has. */
  std::uint64_t snapshotReceived{};
  /** Whether an answer came since the last heartbeat. */
  bool answered{ false };
};

/** @brief A command that was proposed here and whose end is not known yet. */
struct Proposal
{
  Term term;
  Ticket ticket;
};

/** @brief A reader that waits for the leader to be confirmed. */
struct PendingRead
{
  Ticket ticket;
  Index index;
  Round round;
};

/** @brief The last entry that one write makes durable. */
struct WriteMark
{
  WriteNumber write;
  Index lastIndex;
};

/** @brief Hands a message to the transport. */
struct Send
{
  HostId to;
  Message message;
};

/** @brief A message that must not leave before a write is durable. */
struct HeldSend
{
  WriteNumber write;
  Send send;
};

/** @brief A snapshot that arrives in parts; index zero for none. */
struct IncomingSnapshot
{
  Index index;
  Term term;
  ByteVector data;
};

/** @brief State of one member; the control thread owns it. */
struct State
{
  Settings settings;
  HardState hard;
  Log log;
  /** The group as of the last entry of the log. */
  Membership members;
  Index membersIndex;
  Index committed;
  Index applied;
  Snapshot snapshot;

  HostId leader;
  Instant leaderHeardAt{};
  Instant electionDeadline{ kNever };
  Instant heartbeatDeadline{ kNever };
  std::set<HostId> grants;
  /** State of the generator of election timeouts. */
  SplitMix64 random;

  std::map<HostId, Progress> progress;
  Round round;
  /** First entry of this host's term as leader. */
  Index termStart;
  std::map<Index, Proposal> proposals;
  std::vector<PendingRead> reads;
  IncomingSnapshot incoming;

  WriteNumber lastWrite;
  WriteNumber durableWrite;
  /** Last entry that is durable here. */
  Index synced;
  std::deque<WriteMark> marks;
  std::deque<HeldSend> held;
  /** The write that has to succeed before storage works again. */
  WriteNumber resumeWrite;
  Instant storageRetryAt{ kNever };

  HostId handOverTo;
  Instant handOverDeadline{ kNever };
  std::set<Spare> spares;

  Role role{ Role::Follower };
  /** Whether the leader was heard in this term. */
  bool leaderHeard{ false };
  /** Whether some leader was known since the start. */
  bool anyLeaderKnown{ false };
  bool snapshotRequested{ false };
  bool storageFailed{ false };
  bool handOverStarted{ false };
};

/** @brief A message of another member. */
struct Received
{
  HostId from;
  Message message;
};

/** @brief The disk has made a write and all before it durable. */
struct Synced
{
  WriteNumber write;
};

/** @brief The disk could not make a write durable. */
struct StorageFailure
{
  WriteNumber write;
  Error error;
};

/** @brief Asks to replicate a command; answered under its ticket. */
struct Propose
{
  Ticket ticket;
  ByteVector command;
};

/** @brief Asks to add a host as a learner, which is promoted when caught up. */
struct AddMember
{
  Ticket ticket;
  HostId host;
  ZoneId zone;
};

/** @brief Asks to remove a member. */
struct RemoveMember
{
  Ticket ticket;
  HostId host;
};

/** @brief Asks to put a new host in the place of a member. */
struct ReplaceMember
{
  Ticket ticket;
  HostId host;
  HostId with;
  ZoneId zone;
};

/** @brief Asks for proof that this host leads now, before a read. */
struct ConfirmLeader
{
  Ticket ticket;
};

/** @brief Asks the leader to pass its office on before it stops. */
struct HandOver
{};

/** @brief The hosts with disks that may take a lost voter's place. */
struct SparesKnown
{
  std::set<Spare> spares;
};

/** @brief Asks what operators see of the group; answered by `StatusReady`. */
struct StatusWanted
{};

/** @brief The tables as encoded by the daemon for `TakeSnapshot`. */
struct SnapshotTaken
{
  Index index;
  ByteVector data;
};

/** @brief Everything that a member reacts to. */
using Event = std::variant<Received,
                           Synced,
                           StorageFailure,
                           Propose,
                           AddMember,
                           RemoveMember,
                           ReplaceMember,
                           ConfirmLeader,
                           HandOver,
                           SparesKnown,
                           SnapshotTaken,
                           StatusWanted>;

/**
 * @brief Writes to the disk, in the order of the numbers; answered by `Synced`
 * or `StorageFailure`.
 */
struct Persist
{
  WriteNumber write;
  std::optional<HardState> hard;
  /** Replaces the snapshot; entries up to its index may be dropped. */
  std::optional<Snapshot> snapshot;
  /** Whether entries from `truncateFrom` on are dropped first. */
  bool truncate{ false };
  Index truncateFrom;
  /** Writes everything again that may not be durable; a disk that has failed
   * refuses every other write. */
  bool resume{ false };
  std::vector<Entry> entries;
};

/** @brief Applies one committed command to the replicated tables. */
struct Apply
{
  Index index;
  Term term;
  ByteVector command;
  /** The local proposal that this is; zero for another host's. */
  Ticket ticket;
};

/** @brief Replaces the replicated tables by those of a snapshot. */
struct Restore
{
  Index index;
  ByteVector data;
};

/** @brief Asks for the tables as they are now, after all `Apply` before. */
struct TakeSnapshot
{
  Index index;
};

/** @brief Answers a refused request; `executed` says what is known. */
struct Refused
{
  Ticket ticket;
  Error error;
};

/** @brief Answers a request on members whose entry is committed. */
struct MembersChanged
{
  Ticket ticket;
  Membership members;
};

/** @brief Answers `ConfirmLeader`: everything up to the index is readable. */
struct LeaderConfirmed
{
  Ticket ticket;
  Index index;
};

/** @brief Says that the leader or the term changed; an empty id for none. */
struct LeaderChanged
{
  Term term;
  HostId leader;
};

/** @brief Says that this host leads and has applied all that was committed
 * before its term. */
struct Established
{
  Term term;
  HostId leader;
};

/** @brief Says that a hand-over has ended, done or not. */
struct HandOverEnded
{
  bool done{ false };
};

/** @brief Answers `StatusWanted`. */
struct StatusReady
{
  Status status;
};

/** @brief Everything that a member asks of the daemon. */
using Action = std::variant<Send,
                            Persist,
                            Apply,
                            Restore,
                            TakeSnapshot,
                            Refused,
                            MembersChanged,
                            LeaderConfirmed,
                            LeaderChanged,
                            Established,
                            HandOverEnded,
                            StatusReady>;

/** @brief Collects what a command asks of the daemon. */
using Actions = std::vector<Action>;

} // namespace balsampoint::consensus
