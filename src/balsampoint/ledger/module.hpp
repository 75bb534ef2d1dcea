#pragma once

#include "balsampoint/core/concepts.hpp"
#include "balsampoint/ledger/message.hpp"
#include "balsampoint/ledger/state.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace balsampoint::ledger {

/** @brief Fixed values of one host. */
struct Settings
{
  HostId self;
  Incarnation incarnation;
  /** Members of the control group; tried in turn while no leader is known. */
  std::vector<HostId> members;
  /** Time without a reply before the first resend; doubles with each. */
  Duration resendAfter{ std::chrono::milliseconds{ 400 } };
  /** Interval at which the leader advances the table's time. */
  Duration timeStep{ std::chrono::seconds{ 30 } };
  /** Time after which a command without a waiting thread is dropped. */
  Duration detachedCommandTimeout{ std::chrono::minutes{ 10 } };
  /** Largest number of commands of this host that have no outcome, and of
   * commands that this host replicates as leader. */
  std::size_t maxPending{ 4096 };
};

/** @brief A command of this host that has no outcome yet. */
struct PendingCommand
{
  Command command;
  /** Ticket of the waiting traffic thread; none if no thread waits. */
  std::optional<Ticket> ticket;
  /** Time at which the command is dropped. */
  Instant until{};
  /** Time of the next resend. */
  Instant resendAt{};
  /** Delay before the next resend; doubles each time. */
  Duration resendAfter{};
  /** Whether it was sent, so that a leader may have replicated it. */
  bool sent{ false };
};

/** @brief Where a command that this host replicates as leader came from. */
struct Origin
{
  HostId host;
  ForwardId forwardId;
};

/** @brief State of the module on one host; owned by the control thread. */
struct State
{
  Settings settings;
  /** The host that commands are sent to; empty if unknown. */
  HostId leader;
  /** Index in `Settings::members` of the host to try next. */
  std::size_t nextMember{};
  /** Number of the last command that this host submitted. */
  std::uint64_t lastNumber{};
  /** Commands of this host without an outcome, by number. */
  std::map<std::uint64_t, PendingCommand> commands;
  /** Next resend or deadline of each command, with its number. */
  std::set<std::pair<Instant, std::uint64_t>> timers;
  /** Commands proposed to the control group, by ticket of `Replicate`. */
  std::map<Ticket, Origin> origins;
  Ticket lastTicket;
  /** The replicated table; empty on hosts outside the control group. */
  Table table;
  /** When the table's time last changed, on this host's clock. */
  Instant tableTimeChangedAt{};
  /** When the leader proposes the next time step; `kNever` on other hosts. */
  Instant nextTimeStep{ kNever };
};

/** @brief A traffic thread requests a command and waits for its outcome. */
struct CommandRequested
{
  Ticket ticket;
  Command command;
  Instant until{};
};

/** @brief A traffic thread requests a command without waiting for it. */
struct CommandPosted
{
  Command command;
};

/** @brief A message of another host. */
struct Received
{
  HostId from;
  Message message;
};

/** @brief The control group committed a command; delivered in log order. */
struct Applied
{
  Command command;
  /** Ticket of this host's `Replicate`; zero if it came from another host. */
  Ticket ticket;
};

/** @brief The control group refused a `Replicate` of this host. */
struct ReplicateRefused
{
  Ticket ticket;
};

/** @brief The leader of the control group changed. */
struct LeaderChanged
{
  /** The new leader; empty if there is none. */
  HostId leader;
};

/** @brief A snapshot of the control group replaces the table. */
struct Restored
{
  Table table;
};

/** @brief The members of the control group changed. */
struct MembersChanged
{
  std::vector<HostId> members;
};

/** @brief The control group requests the table for a snapshot. */
struct SnapshotWanted
{
  /** Index of the last log entry that the snapshot covers. */
  std::uint64_t index{};
};

/** @brief Events of the module. */
using Event = std::variant<CommandRequested,
                           CommandPosted,
                           Received,
                           Applied,
                           ReplicateRefused,
                           LeaderChanged,
                           Restored,
                           SnapshotWanted,
                           MembersChanged>;

/** @brief Send a message to another host. */
struct Send
{
  HostId to;
  Message message;
};

/** @brief Propose a command to the control group, as its leader. */
struct Replicate
{
  Ticket ticket;
  Command command;
};

/** @brief Deliver an outcome to the waiting traffic thread. */
struct Decided
{
  Ticket ticket;
  Outcome outcome;
};

/** @brief Report to the waiting traffic thread that its command was refused or
 * has no outcome in time. */
struct CommandFailed
{
  Ticket ticket;
  Error error;
  /** Whether the command may still be applied. */
  bool mayApply{ true };
};

/** @brief Deliver the table that `SnapshotWanted` requested. */
struct SnapshotReady
{
  /** Index of the last log entry that the table includes. */
  std::uint64_t index{};
  std::shared_ptr<const Table> table;
};

/** @brief Actions that the daemon performs for the module. */
using Action =
  std::variant<Send, Replicate, Decided, CommandFailed, SnapshotReady>;

/** @brief The module that the control thread runs. */
struct Module
{
  using State = ledger::State;
  using Event = ledger::Event;
  using Action = ledger::Action;

  /**
   * @brief Creates the state with an empty table.
   * @param aSettings Fixed values of the host.
   * @param aBounds Limits of the table; must be equal on all members.
   * @param aNow The current time.
   * @return The state, or `ErrorKind::InvalidConfiguration` if the host has no
   * id.
   */
  [[nodiscard]] static tl::expected<State, Error> Start(Settings aSettings,
                                                        const Bounds& aBounds,
                                                        Instant aNow);

  /**
   * @brief Handles an event.
   * @param aState State to change.
   * @param aEvent The event.
   * @param aNow The current time.
   * @param aActions Actions are appended here.
   */
  static void Handle(State& aState,
                     const Event& aEvent,
                     Instant aNow,
                     std::vector<Action>& aActions);

  /**
   * @brief Resends and expires commands and, on the leader, proposes time
   * steps.
   * @param aState State to change.
   * @param aNow The current time.
   * @param aActions Actions are appended here.
   */
  static void Tick(State& aState, Instant aNow, std::vector<Action>& aActions);

  /**
   * @brief Returns when `Tick` must be called next.
   * @param aState State to read.
   * @return The time, or `kNever` if nothing is scheduled.
   */
  [[nodiscard]] static Instant NextDeadline(const State& aState);
};

static_assert(ControlModule<Module>);

} // namespace balsampoint::ledger
