#pragma once

#include "balsampoint/core/concepts.hpp"
#include "balsampoint/core/id.hpp"
#include "balsampoint/core/number.hpp"

#include <cstdint>
#include <vector>

namespace balsampoint::consensus {

/** @brief Raft term; each term has at most one leader. */
using Term = BasicNumber<struct TermTag>;
/** @brief Position of an entry in the replicated log, starting at one. */
using Index = BasicNumber<struct LogIndexTag>;
/**
 * @brief Numbers the rounds of messages that one leader sends to all members.
 *
 * Replies repeat the number, so that a quorum of replies to a round proves that
 * the leader still led when it started that round.
 */
using Round = BasicNumber<struct HeartbeatRoundTag>;
/** @brief Numbers the writes that one host passes to its disk, in order. */
using WriteNumber = BasicNumber<struct WriteTag>;

/** @brief Whether a member counts towards the quorum. */
enum class MemberRole : std::uint8_t
{
  Voter,
  /** Receives the log but does not vote until it is promoted. */
  Learner,
};

/** @brief One member of the consensus group. */
struct Member
{
  HostId host;
  ZoneId zone;
  MemberRole role{ MemberRole::Voter };
  /** Voter to remove once this learner is promoted; empty if none. */
  HostId replaces;

  auto operator<=>(const Member&) const = default;
};

/** @brief Members of the group as of one log entry, sorted by host id. */
struct Membership
{
  std::vector<Member> members;

  auto operator<=>(const Membership&) const = default;
};

/** @brief Kind of the payload of an entry. */
enum class EntryKind : std::uint8_t
{
  /** No payload; a new leader appends it, since only an entry of its own term
   * lets it commit the entries of earlier terms. */
  Empty,
  Command,
  Members,
};

/** @brief One entry of the replicated log. */
struct Entry
{
  Index index;
  Term term;
  EntryKind kind{ EntryKind::Empty };
  ByteVector command;
  Membership members;

  bool operator==(const Entry&) const = default;
};

/** @brief The replicated tables as of one log entry, encoded by the daemon. */
struct Snapshot
{
  Index index;
  Term term;
  Membership members;
  ByteVector data;

  bool operator==(const Snapshot&) const = default;
};

/** @brief Raft state that must be durable before this host sends a message that
 * depends on it. */
struct HardState
{
  Term term;
  /** Candidate that this host voted for in `term`; empty if none. */
  HostId vote;
  /** Whether durable state may have been lost; the host must not vote until it
   * has caught up with the leader. */
  bool recovering{ false };

  bool operator==(const HardState&) const = default;
};

} // namespace balsampoint::consensus
