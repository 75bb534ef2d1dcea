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

/** @brief Fixed values of one host. */
struct Settings
{
  HostId self;
  /** Hosts to ask for the leader. */
  std::vector<HostId> seeds;
  /** Time after which a try without a reply is repeated elsewhere. */
  Duration retry{ std::chrono::milliseconds{ 500 } };
  /** Time after which an operator is told that the outcome is not known. */
  Duration limit{ std::chrono::seconds{ 10 } };
};

/** @brief A change of an operator who waits at this host. */
struct Pending
{
  Change change;
  Instant deadline{};
  Instant retryAt{};
  AttemptNumber attempts;
  /** Tries that may still be carried out. */
  std::set<AttemptNumber> open;
};

/** @brief A try of some host that this leader has proposed. */
struct Proposed
{
  HostId origin;
  Ticket ticket;
  AttemptNumber attempt;
  ChangeId change;
};

/** @brief State of one host; the control thread owns it. */
struct State
{
  Settings settings;
  /** The replicated table; empty on hosts that hold no log. */
  Table table;
  /** The leader as last heard of; empty if not known. */
  HostId leader;
  std::size_t nextSeed{};
  std::map<Ticket, Pending> pending;
  std::map<Ticket, Proposed> proposed;
  Ticket lastProposal;
};

/** @brief An operator's change; answered by `Answered` under its ticket. */
struct Submit
{
  Ticket ticket;
  Change change;
};

/** @brief A message of another host. */
struct Received
{
  HostId from;
  Message message;
};

/** @brief The leader changed; an empty id when there is none. */
struct LeaderKnown
{
  HostId leader;
};

/** @brief A committed change, in the order of the log. */
struct Committed
{
  /** Ticket of the `Propose` action that it comes from; zero if none. */
  Ticket ticket;
  Change change;
};

/** @brief A proposal that was refused; certainly not carried out if `No`. */
struct ProposalRefused
{
  Ticket ticket;
  Executed executed{ Executed::No };
};

/** @brief The table of a snapshot takes the place of the present one. */
struct Restored
{
  Table table;
};

/** @brief Asks for the table as it is now, for a snapshot of the log. */
struct SnapshotWanted
{
  /** Index of the log's entry that the snapshot covers. */
  std::uint64_t index{};
};

/** @brief This host leads and has been told all that was committed before. */
struct LeadingWithAll
{
  HostId leader;
};

/** @brief Asks for the configuration as the log has it; `ReadReady` follows. */
struct ReadWanted
{
  Ticket ticket;
};

/** @brief Everything that a host reacts to. */
using Event = std::variant<Submit,
                           Received,
                           LeaderKnown,
                           Committed,
                           ProposalRefused,
                           Restored,
                           SnapshotWanted,
                           LeadingWithAll,
                           ReadWanted>;

/** @brief Hands a message to the transport. */
struct Send
{
  HostId to;
  Message message;
};

/** @brief Hands a change to the replicated log under a ticket. */
struct Propose
{
  Ticket ticket;
  Change change;
};

/**
 * @brief Answers a `Submit`.
 *
 * The error is `ControlUnavailable` when the change was certainly not made,
 * and `OutcomeUnknown` when it may have been or may yet be; sending the same
 * change again under the same id is then safe.
 */
struct Answered
{
  Ticket ticket;
  tl::expected<Answer, Error> result;
};

/** @brief A change that won its number. */
struct AcceptedChange
{
  ChangeNumber number;
  ChangeId id;
  OperatorId author;
};

/** @brief Says that a configuration was accepted, for the fan-out. */
struct Accepted
{
  ChangeNumber number;
  SharedSections sections;
  /** The newest change; after a snapshot, all that the table knows. */
  std::vector<AcceptedChange> changes;
};

/** @brief Answers `SnapshotWanted`. */
struct SnapshotReady
{
  std::uint64_t index{};
  Table table;
};

/** @brief Answers `ReadWanted`. */
struct ReadReady
{
  Ticket ticket;
  ChangeNumber number;
  SharedSections sections;
};

/** @brief Everything that a host asks of the daemon. */
using Action = std::variant<Send,
                            Propose,
                            Answered,
                            Accepted,
                            LeadingWithAll,
                            SnapshotReady,
                            ReadReady>;

/** @brief Collects what a command asks of the daemon. */
using Actions = std::vector<Action>;

} // namespace balsampoint::change
