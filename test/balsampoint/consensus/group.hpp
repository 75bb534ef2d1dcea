#pragma once

#include "balsampoint/consensus/memory_store.hpp"
#include "balsampoint/consensus/module.hpp"
#include "fake/clock.hpp"
#include "fake/network.hpp"

#include <algorithm>
#include <functional>
#include <string>

namespace balsampoint::consensus::test {

/** @brief Answer to a proposal or another request. */
struct Answer
{
  bool done{ false };
  std::optional<Error> error;
};

/** @brief Converts the bytes of a command or a snapshot to text. */
inline std::string
TextOf(ByteView aBytes)
{
  std::string text;
  for (const auto byte : aBytes) {
    text += static_cast<char>(byte);
  }
  return text;
}

/** @brief Converts text to bytes. */
inline ByteVector
BytesOf(std::string_view aText)
{
  const auto bytes = std::as_bytes(std::span{ aText });
  return { bytes.begin(), bytes.end() };
}

/**
 * @brief Simulates the members of a group on a fake network and virtual clock.
 *
 * Checks on each step that no two hosts apply different commands at one index
 * and that no term has two leaders.
 * @tparam Store Storage of one member.
 */
template<typename Store>
class BasicGroup
{
public:
  /** @brief One host with its disk and its replicated table. */
  struct Host
  {
    State state;
    Store store;
    bool up{ false };
    std::deque<std::pair<Instant, Persist>> writes;
    /** The replicated table: one line for each applied command. */
    std::string table;
    std::uint64_t applied{};
    std::uint64_t starts{};
    bool handOverDone{ false };
  };

  /**
   * @brief Starts a group.
   * @param aVoters Number of voters, named a, b, c and so on.
   * @param aStandbyHosts Number of standby hosts, named with the letters that
   * follow.
   * @param aSeed Seed of the random timeouts and network faults.
   */
  BasicGroup(std::size_t aVoters,
             std::size_t aStandbyHosts,
             std::uint64_t aSeed)
    : network{ aSeed }
    , mSeed{ aSeed }
  {
    for (std::size_t i = 0; i < aVoters + aStandbyHosts; ++i) {
      const auto id = Name(i);
      if (i < aVoters) {
        settings.initialMembers.members.push_back(
          { id, Zone(i), MemberRole::Voter, {} });
      }
      hosts[id];
    }
    for (auto& [id, host] : hosts) {
      Start(id);
    }
  }

  static HostId Name(std::size_t aIndex)
  {
    return HostId{ std::string(1, static_cast<char>('a' + aIndex)) };
  }

  static ZoneId Zone(std::size_t aIndex)
  {
    return ZoneId{ "zone-" + std::to_string(aIndex % 3) };
  }

  void Start(const HostId& aHost)
  {
    auto& host = hosts.at(aHost);
    auto own = settings;
    own.self = aHost;
    const auto place = Find(own.initialMembers, aHost);
    if (!place) {
      own.initialMembers.members.clear();
    }
    auto recovered = host.store.Load();
    if (!recovered) {
      startErrors.push_back(recovered.error());
      return;
    }
    Actions actions;
    host.table.clear();
    host.applied = 0;
    host.up = true;
    ++host.starts;
    const auto seed = mSeed * 1000 + host.starts * 100 +
                      static_cast<unsigned char>(aHost.Value()[0]);
    host.state =
      *Module::Start(own, std::move(*recovered), seed, clock.Now(), actions);
    Do(aHost, actions);
  }

  /** @brief Crashes a host; unfinished writes are lost. */
  void Kill(const HostId& aHost)
  {
    auto& host = hosts.at(aHost);
    host.up = false;
    host.writes.clear();
    for (auto& [ticket, place] : mTickets) {
      if (place == aHost) {
        place = {};
      }
    }
  }

  Ticket Post(const HostId& aHost, const std::function<Event(Ticket)>& aMake)
  {
    mLastTicket = mLastTicket.Next();
    mTickets[mLastTicket] = aHost;
    Handle(aHost, aMake(mLastTicket));
    return mLastTicket;
  }

  Ticket ProposeAt(const HostId& aHost, std::string_view aText)
  {
    return Post(aHost, [aText](Ticket aTicket) -> Event {
      return Propose{ aTicket, BytesOf(aText) };
    });
  }

  void Handle(const HostId& aHost, const Event& aEvent)
  {
    auto& host = hosts.at(aHost);
    if (!host.up) {
      return;
    }
    Actions actions;
    Module::Handle(host.state, aEvent, clock.Now(), actions);
    Do(aHost, actions);
  }

  /** @brief Runs the next delivery, write or timer; returns false if there is
   * none before the limit. */
  bool Step(Instant aLimit)
  {
    const auto next = NextTime();
    if (next > aLimit) {
      clock.Advance(aLimit - clock.Now());
      return false;
    }
    clock.Advance(std::max(Duration{}, next - clock.Now()));
    if (auto delivery = network.Receive(clock.Now())) {
      Handle(delivery->to, Received{ delivery->from, delivery->message });
      return true;
    }
    for (auto& [id, host] : hosts) {
      if (host.up && FinishWrite(id, host)) {
        return true;
      }
      if (host.up && Module::NextDeadline(host.state) <= clock.Now()) {
        Actions actions;
        Module::Tick(host.state, clock.Now(), actions);
        Do(id, actions);
        return true;
      }
    }
    return true;
  }

  void Run(Duration aFor)
  {
    const auto limit = clock.Now() + aFor;
    while (Step(limit)) {
    }
  }

  bool RunUntil(const std::function<bool()>& aPredicate, Duration aAtMost)
  {
    const auto limit = clock.Now() + aAtMost;
    while (!aPredicate()) {
      if (!Step(limit)) {
        return aPredicate();
      }
    }
    return true;
  }

  /** @brief The live leader of the latest term; empty if there is none. */
  HostId Leader() const
  {
    HostId best;
    Term term;
    for (const auto& [id, host] : hosts) {
      if (host.up && host.state.role == Role::Leader &&
          host.state.hard.term > term) {
        best = id;
        term = host.state.hard.term;
      }
    }
    return best;
  }

  /** @brief Waits for a leader that has committed in its term. */
  HostId Elect(Duration aAtMost = std::chrono::seconds{ 10 })
  {
    RunUntil(
      [this] {
        const auto leader = Leader();
        return !leader.Empty() && hosts.at(leader).state.committed >=
                                    hosts.at(leader).state.termStart;
      },
      aAtMost);
    return Leader();
  }

  /** @brief Proposes and waits for the answer. */
  Answer Commit(const HostId& aHost,
                std::string_view aText,
                Duration aAtMost = std::chrono::seconds{ 5 })
  {
    const auto ticket = ProposeAt(aHost, aText);
    RunUntil([&] { return answers.contains(ticket); }, aAtMost);
    return answers[ticket];
  }

  void CutOff(const HostId& aHost, bool aCut)
  {
    for (const auto& [id, host] : hosts) {
      if (id != aHost) {
        network.Cut(aHost, id, aCut);
        network.Cut(id, aHost, aCut);
      }
    }
  }

  /** @brief Whether all live hosts with known members have the same table. */
  bool Agree() const
  {
    const std::string* first = nullptr;
    for (const auto& [id, host] : hosts) {
      if (!host.up || host.state.members.members.empty()) {
        continue;
      }
      if (first == nullptr) {
        first = &host.table;
      }
      if (*first != host.table) {
        return false;
      }
    }
    return first != nullptr;
  }

  Settings settings;
  fake::Clock clock;
  fake::Network<Message> network;
  std::map<HostId, Host> hosts;
  std::map<Ticket, Answer> answers;
  std::vector<Error> startErrors;
  /** Descriptions of violated invariants. */
  std::vector<std::string> violations;
  /** Number of `LeadershipEstablished` actions. */
  std::uint64_t established{};
  Duration syncTime{ std::chrono::microseconds{ 500 } };

private:
  static bool Find(const Membership& aMembers, const HostId& aHost)
  {
    return std::ranges::find(aMembers.members, aHost, &Member::host) !=
           aMembers.members.end();
  }

  Instant NextTime() const
  {
    auto next = network.NextArrival();
    for (const auto& [id, host] : hosts) {
      if (!host.up) {
        continue;
      }
      next = std::min(next, Module::NextDeadline(host.state));
      if (!host.writes.empty()) {
        next = std::min(next, host.writes.front().first);
      }
    }
    return next;
  }

  bool FinishWrite(const HostId& aId, Host& aHost)
  {
    if (aHost.writes.empty() || aHost.writes.front().first > clock.Now()) {
      return false;
    }
    const auto write = std::move(aHost.writes.front().second);
    aHost.writes.pop_front();
    const auto result = aHost.store.Write(write);
    if (result) {
      Handle(aId, WriteCompleted{ write.write });
    } else {
      Handle(aId, StorageFailure{ write.write, result.error() });
    }
    return true;
  }

  void Do(const HostId& aHost, Actions& aActions)
  {
    for (auto& action : aActions) {
      std::visit([&](auto& aAction) { Perform(aHost, aAction); }, action);
    }
  }

  void Perform(const HostId& aHost, Send& aSend)
  {
    network.Send(clock.Now(), { aHost, aSend.to, std::move(aSend.message) });
  }
  void Perform(const HostId& aHost, Persist& aPersist)
  {
    hosts.at(aHost).writes.emplace_back(clock.Now() + syncTime,
                                        std::move(aPersist));
  }
  void Perform(const HostId& aHost, Apply& aApply)
  {
    auto& host = hosts.at(aHost);
    const auto text = TextOf(aApply.command);
    const auto [place, added] = mDecided.emplace(aApply.index, text);
    if (!added && place->second != text) {
      violations.push_back("two commands at one index");
    }
    if (aApply.index.Value() <= host.applied) {
      violations.emplace_back("applied out of order");
    }
    host.applied = aApply.index.Value();
    host.table += text + "\n";
    if (aApply.ticket != Ticket{}) {
      answers[aApply.ticket].done = true;
    }
  }
  void Perform(const HostId& aHost, Restore& aRestore)
  {
    hosts.at(aHost).table = TextOf(aRestore.data);
    hosts.at(aHost).applied = aRestore.index.Value();
  }
  void Perform(const HostId& aHost, TakeSnapshot& aTake)
  {
    Handle(aHost, SnapshotTaken{ aTake.index, BytesOf(hosts.at(aHost).table) });
  }
  void Perform(const HostId& /*aHost*/, Refused& aRefused)
  {
    answers[aRefused.ticket].error = aRefused.error;
  }
  void Perform(const HostId& /*aHost*/, MembersChanged& aChanged)
  {
    answers[aChanged.ticket].done = true;
  }
  void Perform(const HostId& /*aHost*/, LeaderConfirmed& aConfirmed)
  {
    answers[aConfirmed.ticket].done = true;
  }
  void Perform(const HostId& aHost, LeaderChanged& aChanged)
  {
    if (aChanged.leader != aHost) {
      return;
    }
    const auto [place, added] = mLeaders.emplace(aChanged.term, aHost);
    if (!added && place->second != aHost) {
      violations.emplace_back("two leaders in one term");
    }
  }
  void Perform(const HostId& aHost, LeadershipEstablished& aEstablished)
  {
    const auto leads = mLeaders.find(aEstablished.term);
    if (leads == mLeaders.end() || leads->second != aHost) {
      violations.emplace_back("established without an election");
    }
    ++established;
  }
  void Perform(const HostId& aHost, HandOverEnded& aEnded)
  {
    hosts.at(aHost).handOverDone = aEnded.done;
  }

  void Perform(const HostId& /*aHost*/, StatusReady& /*aReady*/) {}
  void Perform(const HostId& /*aHost*/, MembersUpdated& /*aUpdated*/) {}
  void Perform(const HostId& /*aHost*/, LeaderMissing& /*aMissing*/) {}
  void Perform(const HostId& /*aHost*/, RecoveryEnded& /*aEnded*/) {}

  std::uint64_t mSeed;
  Ticket mLastTicket;
  std::map<Ticket, HostId> mTickets;
  std::map<Index, std::string> mDecided;
  std::map<Term, HostId> mLeaders;
};

/** @brief A group whose members store their state in memory. */
using Group = BasicGroup<MemoryStore>;

} // namespace balsampoint::consensus::test
