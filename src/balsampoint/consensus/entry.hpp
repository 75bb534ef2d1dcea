#pragma once

#include "balsampoint/core/concepts.hpp"
#include "balsampoint/core/id.hpp"
#include "balsampoint/core/number.hpp"

#include <cstdint>
#include <vector>

namespace balsampoint::consensus {

/** @brief Counts elections; at most one leader in each term. */
using Term = BasicNumber<struct TermTag>;
/** @brief Position of an entry in the replicated log, from one. */
using Index = BasicNumber<struct LogIndexTag>;
/** @brief Orders the rounds of heartbeats of one leader. */
using Round = BasicNumber<struct HeartbeatRoundTag>;
/** @brief Orders the writes that one host hands to its disk. */
using WriteNumber = BasicNumber<struct WriteTag>;

/** @brief What a member of the group may do. */
enum class MemberRole : std::uint8_t
{
  Voter,
  /** Receives the log but has no vote yet. */
  Learner,
};

/** @brief One host of the group. */
struct Member
{
  HostId host;
  ZoneId zone;
  MemberRole role{ MemberRole::Voter };
  /** Voter to remove once this learner is promoted; empty for none. */
  HostId replaces;

  auto operator<=>(const Member&) const = default;
};

/** @brief The group as of one entry, in the order of host ids. */
struct Membership
{
  std::vector<Member> members;

  auto operator<=>(const Membership&) const = default;
};

/** @brief What an entry holds. */
enum class EntryKind : std::uint8_t
{
  /** Nothing; a new leader commits it to learn what is committed. */
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

/** @brief The replicated tables as of one entry, encoded by the daemon. */
struct Snapshot
{
  Index index;
  Term term;
  Membership members;
  ByteVector data;

  bool operator==(const Snapshot&) const = default;
};

/** @brief What must be durable before a vote or a term leaves the host. */
struct HardState
{
  Term term;
  /** The candidate voted for in this term; empty for none. */
  HostId vote;
  /** Whether durable entries were lost, so that the host may not vote. */
  bool recovering{ false };

  bool operator==(const HardState&) const = default;
};

} // namespace balsampoint::consensus
