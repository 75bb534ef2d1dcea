#pragma once

#include "balsampoint/change/fwd.hpp"
#include "balsampoint/change/message.hpp"
#include "balsampoint/core/time.hpp"

#include <map>
#include <set>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace balsampoint::change {

/** @brief Configuration of the module on one host. */
struct Settings
{
  HostId self;
  /** Hosts that changes are sent to, in turn, while no leader is known. */
  std::vector<HostId> seeds;
  /** Time without a reply after which a change is sent again. */
  Duration retryInterval{ std::chrono::milliseconds{ 500 } };
  /** Time after which a pending change is answered with an error. */
  Duration timeout{ std::chrono::seconds{ 10 } };
};

/** @brief A change submitted on this host that has no answer yet. */
struct Pending
{
  Change change;
  Instant deadline{};
  Instant retryAt{};
  AttemptNumber attempts;
  /** Attempts that may still be carried out. */
  std::set<AttemptNumber> openAttempts;
};

/** @brief An attempt that this host, as leader, has proposed to the log. */
struct Proposed
{
  HostId origin;
  Ticket ticket;
  AttemptNumber attempt;
  ChangeId change;
};

/** @brief State of the module on one host, owned by the control thread. */
struct State
{
  Settings settings;
  /** The replicated table; empty on hosts that hold no log. */
  Table table;
  /** Last known leader; empty if unknown. */
  HostId leader;
  std::size_t nextSeed{};
  /** By the ticket of `Submit`. */
  std::map<Ticket, Pending> pending;
  /** By the ticket of `Propose`. */
  std::map<Ticket, Proposed> proposed;
  Ticket lastProposal;
};

/** @brief Submits an operator's change; answered by `Answered` with the same
 * ticket. */
struct Submit
{
  Ticket ticket;
  Change change;
};

/** @brief A message from another host was received. */
struct Received
{
  HostId from;
  Message message;
};

/** @brief The known leader changed; `leader` is empty if there is none. */
struct LeaderKnown
{
  HostId leader;
};

/** @brief A change was committed; delivered in the order of the log. */
struct Committed
{
  /** Ticket of the `Propose` action on this host; zero if proposed elsewhere.
   */
  Ticket ticket;
  Change change;
};

/** @brief A proposal was refused; it was certainly not carried out if
 * `executed` is `No`. */
struct ProposalRefused
{
  Ticket ticket;
  Executed executed{ Executed::No };
};

/** @brief Replaces the table by that of a snapshot. */
struct Restored
{
  Table table;
};

/** @brief Requests the current table for a snapshot; answered by
 * `SnapshotReady`. */
struct SnapshotRequested
{
  /** Index of the last log entry that the snapshot covers. */
  std::uint64_t index{};
};

/** @brief This host is the leader, and all changes committed before its term
 * have been delivered; passed on as an action after them. */
struct LeadershipEstablished
{
  HostId leader;
};

/** @brief Requests the configuration in the replicated table; answered by
 * `ReadReady`. */
struct ReadRequested
{
  Ticket ticket;
};

/** @brief Input of the module. */
using Event = std::variant<Submit,
                           Received,
                           LeaderKnown,
                           Committed,
                           ProposalRefused,
                           Restored,
                           SnapshotRequested,
                           LeadershipEstablished,
                           ReadRequested>;

/** @brief Sends a message to another host. */
struct Send
{
  HostId to;
  Message message;
};

/** @brief Proposes a change to the replicated log; answered by `Committed` or
 * `ProposalRefused` with the same ticket. */
struct Propose
{
  Ticket ticket;
  Change change;
};

/**
 * @brief Answers a `Submit`.
 *
 * The error is `ControlUnavailable` if the change was certainly not made, and
 * `OutcomeUnknown` if it may have been made or may still be made; submitting
 * the same change again under the same id is then safe.
 */
struct Answered
{
  Ticket ticket;
  tl::expected<Answer, Error> result;
};

/** @brief A change that was accepted under its number. */
struct AcceptedChange
{
  ChangeNumber number;
  ChangeId id;
  OperatorId author;
};

/** @brief Reports a newly accepted configuration, to be distributed by the
 * fan-out. */
struct Accepted
{
  ChangeNumber number;
  SharedSections sections;
  /** The accepted change; after a snapshot, all accepted changes that the table
   * still keeps. */
  std::vector<AcceptedChange> changes;
};

/** @brief Answers `SnapshotRequested`. */
struct SnapshotReady
{
  std::uint64_t index{};
  Table table;
};

/** @brief Answers `ReadRequested`. */
struct ReadReady
{
  Ticket ticket;
  ChangeNumber number;
  SharedSections sections;
};

/** @brief Output of the module, carried out by the daemon. */
using Action = std::variant<Send,
                            Propose,
                            Answered,
                            Accepted,
                            LeadershipEstablished,
                            SnapshotReady,
                            ReadReady>;

/** @brief Actions produced by a command, in order. */
using Actions = std::vector<Action>;

} // namespace balsampoint::change
