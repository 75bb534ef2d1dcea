#pragma once

#include "balsampoint/consensus/entry.hpp"
#include "balsampoint/core/time.hpp"

#include <variant>
#include <vector>

namespace balsampoint::consensus {

/** @brief Requests a vote or, with `preVote`, asks whether it would be granted.
 */
struct VoteRequest
{
  Term term;
  Index lastIndex;
  Term lastTerm;
  /** Whether this is a pre-vote, which changes no term and records no vote. */
  bool preVote{ false };
  /** Whether the leader requested this election to hand over leadership. */
  bool handOver{ false };
  /** Whether the candidate has no durable term and no log entries. */
  bool fresh{ false };

  bool operator==(const VoteRequest&) const = default;
};

/** @brief Answers a `VoteRequest`. */
struct VoteReply
{
  Term term;
  bool preVote{ false };
  bool granted{ false };

  bool operator==(const VoteReply&) const = default;
};

/** @brief A member that does not answer the leader. */
struct Silence
{
  HostId host;
  /** Time since the last sign of life. */
  Duration duration{};

  bool operator==(const Silence&) const = default;
};

/** @brief Sends consecutive log entries; a heartbeat if there are none. */
struct AppendRequest
{
  Term term;
  Index previousIndex;
  Term previousTerm;
  std::vector<Entry> entries;
  Index committed;
  Round round;
  /** Members that do not answer; a next leader replaces them without counting
   * their silence anew. */
  std::vector<Silence> silences;

  bool operator==(const AppendRequest&) const = default;
};

/** @brief Answers an `AppendRequest` once its entries are durable. */
struct AppendReply
{
  Term term;
  bool accepted{ false };
  /** If accepted, the last entry that is durable and equal to the leader's;
   * otherwise the index after which the leader should retry. */
  Index index;
  Round round;
  /** Whether the sender may not vote until the leader has repaired its log. */
  bool recovering{ false };

  bool operator==(const AppendReply&) const = default;
};

/** @brief Sends one part of a snapshot to a member that needs entries which the
 * leader no longer has. */
struct SnapshotRequest
{
  Term term;
  Index index;
  Term snapshotTerm;
  Membership members;
  std::uint64_t offset{};
  std::uint64_t size{};
  ByteVector data;
  Round round;

  bool operator==(const SnapshotRequest&) const = default;
};

/** @brief Acknowledges the bytes of a snapshot received so far. */
struct SnapshotReply
{
  Term term;
  Index index;
  std::uint64_t received{};
  Round round;

  bool operator==(const SnapshotReply&) const = default;
};

/** @brief Asks a caught-up voter to start an election immediately. */
struct HandOverRequest
{
  Term term;

  bool operator==(const HandOverRequest&) const = default;
};

/** @brief Message between two members of the group. */
using Message = std::variant<VoteRequest,
                             VoteReply,
                             AppendRequest,
                             AppendReply,
                             SnapshotRequest,
                             SnapshotReply,
                             HandOverRequest>;

} // namespace balsampoint::consensus
