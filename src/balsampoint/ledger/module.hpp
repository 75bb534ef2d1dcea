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
  /** Hosts that may lead the control group, to start asking with. */
  std::vector<HostId> members;
  /** First silence after which a command is sent to the next member. */
  Duration resendAfter{ std::chrono::milliseconds{ 400 } };
  /** How often the leader moves the table's time. */
  Duration timeStep{ std::chrono::seconds{ 30 } };
  /** How long a command nobody waits for is tried. */
  Duration laterLimit{ std::chrono::minutes{ 10 } };
  /** Commands on their way at most. */
  std::size_t pending{ 4096 };
};

/** @brief A command of this host that has no outcome yet. */
struct PendingCommand
{
  Command command;
  /** The traffic thread that waits; none for a command sent in passing. */
  std::optional<Ticket> ticket;
  /** When it is given up. */
  Instant until{};
  /** When it is sent again. */
  Instant resendAt{};
  /** Doubles with each time it is sent. */
  Duration resendAfter{};
  /** Whether it may have reached a leader. */
  bool sent{ false };
};

/** @brief A command that this host, as leader, replicates for a host. */
struct Origin
{
  HostId host;
  AskId ask;
};

/** @brief State of one host; the control thread owns it. */
struct State
{
  Settings settings;
  /** Whom this host sends its commands to; empty when unknown. */
  HostId leader;
  /** Position in `Settings::members` of the one to ask next. */
  std::size_t nextMember{};
  std::uint64_t lastNumber{};
  std::map<std::uint64_t, PendingCommand> commands;
  /** When each command needs attention. */
  std::set<std::pair<Instant, std::uint64_t>> timers;
  std::map<Ticket, Origin> origins;
  Ticket lastTicket;
  /** The replicated table; filled on members of the control group only. */
  Table table;
  /** When the table's time was last seen to change. */
  Instant tableTimeSeenAt{};
  Instant nextTimeStep{ kNever };
};

/** @brief A traffic thread wants a command replicated and waits. */
struct CommandRequested
{
  Ticket ticket;
  Command command;
  Instant until{};
};

/** @brief A traffic thread wants a command replicated and doesn't wait. */
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

/** @brief The control group committed a command; in order on each member. */
struct Applied
{
  Command command;
  /** The `Replicate` of this host that it comes from; zero for none. */
  Ticket ticket;
};

/** @brief The control group refused a `Replicate` of this host. */
struct ReplicateRefused
{
  Ticket ticket;
};

/** @brief The leader of the control group changed; empty for none. */
struct LeaderChanged
{
  HostId leader;
};

/** @brief The table of a snapshot replaces the current one. */
struct Restored
{
  Table table;
};

/** @brief The hosts that may lead the control group changed. */
struct MembersChanged
{
  std::vector<HostId> members;
};

/** @brief The control group wants the table for a snapshot. */
struct SnapshotWanted
{
  /** Last command of the log that the snapshot covers. */
  std::uint64_t index{};
};

/** @brief What may happen to the module. */
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

/** @brief Hand an outcome to the traffic thread that waits for it. */
struct Decided
{
  Ticket ticket;
  Outcome outcome;
};

/** @brief Tell the traffic thread that no outcome arrived in time. */
struct Lost
{
  Ticket ticket;
  Error error;
  /** Whether the command may still be applied. */
  bool mayApply{ true };
};

/** @brief The table as it is after the commands of a snapshot. */
struct SnapshotReady
{
  std::uint64_t index{};
  std::shared_ptr<const Table> table;
};

/** @brief What the daemon has to do for the module. */
using Action = std::variant<Send, Replicate, Decided, Lost, SnapshotReady>;

/** @brief The module as the control thread runs it. */
struct Module
{
  using State = ledger::State;
  using Event = ledger::Event;
  using Action = ledger::Action;

  /**
   * @brief Starts with an empty table, which a snapshot may replace.
   * @param aSettings Fixed values of the host.
   * @param aBounds Bounds of the table, the same on each member.
   * @param aNow The time.
   * @return The state, or `ErrorKind::InvalidConfiguration`.
   */
  [[nodiscard]] static tl::expected<State, Error> Start(Settings aSettings,
                                                        const Bounds& aBounds,
                                                        Instant aNow);

  /**
   * @brief Reacts to an event.
   * @param aState State to change.
   * @param aEvent What happened.
   * @param aNow The time.
   * @param aActions Actions are appended here.
   */
  static void Handle(State& aState,
                     const Event& aEvent,
                     Instant aNow,
                     std::vector<Action>& aActions);

  /**
   * @brief Sends again and gives up what is due.
   * @param aState State to change.
   * @param aNow The time.
   * @param aActions Actions are appended here.
   */
  static void Tick(State& aState, Instant aNow, std::vector<Action>& aActions);

  /**
   * @brief When the next `Tick` is wanted.
   * @param aState State to read.
   * @return The time, or `kNever`.
   */
  [[nodiscard]] static Instant NextDeadline(const State& aState);
};

static_assert(ControlModule<Module>);

} // namespace balsampoint::ledger
