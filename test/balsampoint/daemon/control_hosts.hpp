#pragma once

#include "balsampoint/consensus/module.hpp"
#include "balsampoint/core/hash.hpp"
#include "balsampoint/daemon/gateway_state.hpp"
#include "balsampoint/daemon/torn_store.hpp"
#include "balsampoint/fanout/module.hpp"
#include "balsampoint/roster/module.hpp"
#include "fake/clock.hpp"
#include "fake/network.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace balsampoint::daemon::test {

/**
 * @brief Simulates the control hosts of gateways on virtual time: the
 * replicated log, the tree that finds standby hosts, and the roster that
 * spreads addresses.
 *
 * A host reaches another one only if it knows its address, as in the daemon:
 * from its seeds or from another host since it started.
 */
class ControlHosts
{
public:
  /** @brief A message with the starts of its ends; a connection does not
   * outlive either process. */
  struct Parcel
  {
    std::variant<consensus::Message, fanout::Message, roster::Message> message;
    std::uint64_t senderStart{};
    std::uint64_t receiverStart{};
  };

  /** @brief One host with its disk. */
  struct Host
  {
    TornStore store;
    consensus::State log;
    fanout::State tree;
    roster::State roster;
    std::deque<std::pair<Instant, consensus::Persist>> writes;
    /** Hosts whose address is known. */
    std::set<HostId> routes;
    ZoneId zone;
    std::uint64_t starts{};
    /** Newest number that the replicated table holds. */
    std::uint64_t number{};
    bool up{ false };
    bool frozen{ false };
  };

  /**
   * @brief Starts hosts in three zones for the first time.
   * @param aHosts Number of hosts; the first three are the seeds.
   * @param aLosses Hosts that may be lost at once.
   * @param aCatchUp Time after which a replaced host does not count as lost.
   * @param aSeed Seed of the network and of the election timeouts.
   */
  ControlHosts(std::size_t aHosts,
               std::uint32_t aLosses,
               Duration aCatchUp,
               std::uint64_t aSeed)
    : network{ aSeed }
    , mLosses{ aLosses }
    , mCatchUp{ aCatchUp }
    , mSeed{ aSeed }
  {
    for (std::size_t i = 0; i < aHosts; ++i) {
      Add(i);
    }
    seeds = { Name(0), Name(1), Name(2) };
    mFirstStart = true;
    for (std::size_t i = 0; i < aHosts; ++i) {
      Start(Name(i));
    }
    mFirstStart = false;
  }

  static HostId Name(std::size_t aIndex)
  {
    return HostId{ "10.0.0." + std::to_string(aIndex + 1) };
  }

  /** @brief Adds a host with an empty disk, which has yet to be started. */
  HostId Add(std::size_t aZone)
  {
    const auto id = Name(hosts.size());
    auto& host = hosts[id];
    host.store = TornStore{ mSeed + HashText(id.String()) };
    host.zone = ZoneId{ "zone-" + std::to_string(aZone % 3) };
    return id;
  }

  void Start(const HostId& aHost)
  {
    auto& host = hosts.at(aHost);
    const auto settings = SettingsOf(aHost);
    const auto control = ControlSettingsOf(settings);
    ++host.starts;
    const peer::Identity identity{ .host = aHost,
                                   .incarnation = Incarnation{ host.starts } };
    auto tuning = TuningOf(settings, identity);
    host.up = true;
    host.frozen = false;
    host.number = 0;
    host.routes.clear();
    for (const auto& seed : control.seeds) {
      host.routes.insert(seed.host);
    }
    host.tree = fanout::Module::Start(TreeSettings(aHost, control, identity),
                                      clock.Now());
    host.roster = roster::Module::Start(tuning.roster, clock.Now());
    consensus::Actions actions;
    host.log =
      *consensus::Module::Start(LogSettings(control, tuning.consensus),
                                *host.store.Load(),
                                mSeed + HashText(aHost.String()) + host.starts,
                                clock.Now(),
                                actions);
    Do(aHost, actions);
  }

  /** @brief Ends a host's process; unfinished writes are lost. */
  void Kill(const HostId& aHost)
  {
    auto& host = hosts.at(aHost);
    host.up = false;
    host.writes.clear();
  }

  /** @brief Ends a host's process in the middle of its write, which may be
   * torn.
   */
  void LosePower(const HostId& aHost)
  {
    auto& host = hosts.at(aHost);
    host.store.LosePower(host.writes.empty() ? nullptr
                                             : &host.writes.front().second);
    Kill(aHost);
  }

  /** @brief Logs that were found damaged, on all hosts. */
  int Repairs() const
  {
    int repairs = 0;
    for (const auto& [id, host] : hosts) {
      repairs += host.store.repairs;
    }
    return repairs;
  }

  void Wipe(const HostId& aHost) { hosts.at(aHost).store.Wipe(); }

  void Freeze(const HostId& aHost, bool aFrozen)
  {
    hosts.at(aHost).frozen = aFrozen;
    if (aFrozen) {
      return;
    }
    for (auto& delivery : std::exchange(mHeld[aHost], {})) {
      Deliver(delivery);
    }
  }

  /** @brief The live leader of the latest term; empty if there is none. */
  HostId Leader() const
  {
    HostId best;
    consensus::Term term;
    for (const auto& [id, host] : hosts) {
      const auto& log = host.log;
      if (host.up && !host.frozen && log.role == consensus::Role::Leader &&
          log.hard.term > term) {
        best = id;
        term = log.hard.term;
      }
    }
    return best;
  }

  std::vector<HostId> Voters() const
  {
    std::vector<HostId> voters;
    const auto leader = Leader();
    if (leader.Empty()) {
      return voters;
    }
    for (const auto& member : hosts.at(leader).log.members.members) {
      if (member.role == consensus::MemberRole::Voter) {
        voters.push_back(member.host);
      }
    }
    return voters;
  }

  /** @brief Proposes the next number at the leader; returns it, or zero. */
  std::uint64_t Propose()
  {
    const auto leader = Leader();
    if (leader.Empty()) {
      return 0;
    }
    const auto number = ++mLastNumber;
    const auto text = std::to_string(number);
    const auto bytes = std::as_bytes(std::span{ text });
    Handle(leader,
           consensus::Event{ consensus::Propose{
             Ticket{ number }, { bytes.begin(), bytes.end() } } });
    return number;
  }

  /** @brief Proposes until a number is acknowledged. */
  bool Commit(Duration aAtMost)
  {
    const auto limit = clock.Now() + aAtMost;
    while (clock.Now() < limit) {
      const auto number = Propose();
      const auto wait =
        std::min(limit, clock.Now() + std::chrono::milliseconds{ 500 });
      RunUntil([&] { return number != 0 && acknowledged >= number; }, wait);
      if (number != 0 && acknowledged >= number) {
        return true;
      }
    }
    return false;
  }

  void Run(Duration aFor)
  {
    const auto limit = clock.Now() + aFor;
    while (Step(limit)) {
    }
  }

  void RunUntil(const std::function<bool()>& aPredicate, Instant aLimit)
  {
    while (!aPredicate() && Step(aLimit)) {
    }
  }

  /** @brief Whether a confirmed read answers with what was acknowledged. */
  bool ReadsAcknowledged(Duration aAtMost)
  {
    const auto limit = clock.Now() + aAtMost;
    while (clock.Now() < limit) {
      const auto leader = Leader();
      const auto wait =
        std::min(limit, clock.Now() + std::chrono::milliseconds{ 250 });
      mConfirmed = {};
      if (!leader.Empty()) {
        Handle(leader,
               consensus::Event{ consensus::ConfirmLeader{ Ticket{ 1 } } });
      }
      RunUntil([this] { return !mConfirmed.Empty(); }, wait);
      if (!mConfirmed.Empty()) {
        return hosts.at(mConfirmed).number >= acknowledged;
      }
    }
    return false;
  }

  void Cut(const HostId& aOne, const HostId& aOther, bool aCut)
  {
    network.Cut(aOne, aOther, aCut);
    network.Cut(aOther, aOne, aCut);
  }

  /** @brief Adds a line to `log`. */
  void Note(const std::string& aText)
  {
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
      clock.Now().time_since_epoch());
    log += std::to_string(at.count()) + " ms: " + aText + "\n";
  }

  /** @brief Describes the members as each host knows them. */
  std::string Describe() const
  {
    std::string text;
    for (const auto& [id, host] : hosts) {
      text += id.String() + (host.up ? " up" : " down") +
              (host.log.hard.recovering ? " recovering" : "") + " term " +
              std::to_string(host.log.hard.term.Value()) + " members";
      text += TextOf(host.log.members) + "\n";
    }
    return text;
  }

  fake::Clock clock;
  fake::Network<Parcel> network;
  std::map<HostId, Host> hosts;
  /** Hosts that the settings of later starts name. */
  std::vector<HostId> seeds;
  /** Newest number whose proposer was told that it is committed. */
  std::uint64_t acknowledged{};
  /** Host that acknowledged last. */
  HostId acknowledgedBy;
  /** What happened when. */
  std::string log;
  Duration syncTime{ std::chrono::milliseconds{ 1 } };

private:
  using Delivery = fake::Network<Parcel>::Delivery;

  static constexpr std::uint16_t kControlPort = 8000;
  static constexpr std::uint16_t kPeerPort = 7000;

  static std::string TextOf(const consensus::Membership& aMembers)
  {
    std::string text;
    for (const auto& member : aMembers.members) {
      text += " " + member.host.String() +
              (member.role == consensus::MemberRole::Voter ? "" : "(learner)");
      if (!member.replaces.Empty()) {
        text += "(for " + member.replaces.String() + ")";
      }
    }
    return text;
  }

  config::GatewaySettings SettingsOf(const HostId& aHost) const
  {
    config::GatewaySettings settings;
    settings.host = aHost;
    settings.zone = hosts.at(aHost).zone;
    settings.listen.control = { aHost.String(), kControlPort };
    settings.listen.peers = { aHost.String(), kPeerPort };
    settings.dataFolder = "data";
    settings.firstStart = mFirstStart;
    settings.controlLosses = mLosses;
    settings.controlCatchUp = mCatchUp;
    for (const auto& seed : seeds) {
      settings.seeds.push_back({ seed.String(), kControlPort });
    }
    return settings;
  }

  static consensus::Settings LogSettings(const config::Settings& aControl,
                                         consensus::Settings aTuned)
  {
    aTuned.self = aControl.host;
    for (const auto& seed : aControl.seeds) {
      if (aControl.voter) {
        aTuned.initialMembers.members.push_back(
          { seed.host, seed.zone, consensus::MemberRole::Voter, {} });
      }
    }
    std::ranges::sort(aTuned.initialMembers.members);
    return aTuned;
  }

  static fanout::Settings TreeSettings(const HostId& aHost,
                                       const config::Settings& aControl,
                                       const peer::Identity& aIdentity)
  {
    fanout::Settings settings;
    settings.self = { .host = aHost,
                      .incarnation = aIdentity.incarnation,
                      .zone = aControl.zone,
                      .address = aControl.listen.peers.Text(),
                      .hasDisk = true };
    for (const auto& seed : aControl.seeds) {
      settings.seeds.push_back(seed.host);
    }
    return settings;
  }

  Instant NextTime() const
  {
    auto next = network.NextArrival();
    for (const auto& [id, host] : hosts) {
      if (!host.up || host.frozen) {
        continue;
      }
      next = std::min({ next,
                        consensus::Module::NextDeadline(host.log),
                        fanout::Module::NextDeadline(host.tree),
                        roster::Module::NextDeadline(host.roster) });
      if (!host.writes.empty()) {
        next = std::min(next, host.writes.front().first);
      }
    }
    return next;
  }

  /** @brief Runs the next delivery, write or timer; returns false if there is
   * none before the limit. */
  bool Step(Instant aLimit)
  {
    const auto next = NextTime();
    if (next > aLimit) {
      clock.Advance(std::max(Duration{}, aLimit - clock.Now()));
      return false;
    }
    clock.Advance(std::max(Duration{}, next - clock.Now()));
    if (const auto delivery = network.Receive(clock.Now())) {
      Deliver(*delivery);
      return true;
    }
    for (auto& [id, host] : hosts) {
      if (host.up && !host.frozen &&
          (FinishWrite(id, host) || Tick(id, host))) {
        return true;
      }
    }
    return true;
  }

  bool FinishWrite(const HostId& aId, Host& aHost)
  {
    if (aHost.writes.empty() || aHost.writes.front().first > clock.Now()) {
      return false;
    }
    const auto write = std::move(aHost.writes.front().second);
    aHost.writes.pop_front();
    std::ignore = aHost.store.Write(write);
    Handle(aId, consensus::Event{ consensus::WriteCompleted{ write.write } });
    return true;
  }

  bool Tick(const HostId& aId, Host& aHost)
  {
    const auto now = clock.Now();
    if (consensus::Module::NextDeadline(aHost.log) <= now) {
      consensus::Actions actions;
      consensus::Module::Tick(aHost.log, now, actions);
      Do(aId, actions);
      return true;
    }
    if (fanout::Module::NextDeadline(aHost.tree) <= now) {
      fanout::Actions actions;
      fanout::Module::Tick(aHost.tree, now, actions);
      Do(aId, actions);
      return true;
    }
    if (roster::Module::NextDeadline(aHost.roster) <= now) {
      roster::Actions actions;
      roster::Module::Tick(aHost.roster, now, actions);
      Do(aId, actions);
      return true;
    }
    return false;
  }

  void Deliver(const Delivery& aDelivery)
  {
    auto& host = hosts.at(aDelivery.to);
    const auto& parcel = aDelivery.message;
    if (!host.up || host.starts != parcel.receiverStart ||
        hosts.at(aDelivery.from).starts != parcel.senderStart) {
      return;
    }
    if (host.frozen) {
      mHeld[aDelivery.to].push_back(aDelivery);
      return;
    }
    if (const auto* message =
          std::get_if<consensus::Message>(&parcel.message)) {
      Handle(
        aDelivery.to,
        consensus::Event{ consensus::Received{ aDelivery.from, *message } });
    } else if (const auto* update =
                 std::get_if<fanout::Message>(&parcel.message)) {
      Handle(aDelivery.to,
             fanout::Event{ fanout::Received{ aDelivery.from, *update } });
    } else {
      Handle(aDelivery.to,
             roster::Event{ roster::Received{
               aDelivery.from, std::get<roster::Message>(parcel.message) } });
    }
  }

  void Handle(const HostId& aHost, const consensus::Event& aEvent)
  {
    consensus::Actions actions;
    consensus::Module::Handle(
      hosts.at(aHost).log, aEvent, clock.Now(), actions);
    Do(aHost, actions);
  }

  void Handle(const HostId& aHost, const fanout::Event& aEvent)
  {
    fanout::Actions actions;
    fanout::Module::Handle(hosts.at(aHost).tree, aEvent, clock.Now(), actions);
    Do(aHost, actions);
  }

  void Handle(const HostId& aHost, const roster::Event& aEvent)
  {
    roster::Actions actions;
    roster::Module::Handle(
      hosts.at(aHost).roster, aEvent, clock.Now(), actions);
    Do(aHost, actions);
  }

  template<typename Actions>
  void Do(const HostId& aHost, Actions& aActions)
  {
    for (auto& action : aActions) {
      std::visit([&](auto& aAction) { Perform(aHost, aAction); }, action);
    }
  }

  template<typename Message>
  void Post(const HostId& aFrom, const HostId& aTo, Message aMessage)
  {
    const auto& from = hosts.at(aFrom);
    if (aTo == aFrom || !hosts.contains(aTo) || !from.routes.contains(aTo)) {
      return;
    }
    network.Send(
      clock.Now(),
      { aFrom,
        aTo,
        { std::move(aMessage), from.starts, hosts.at(aTo).starts } });
  }

  /** @brief Actions that concern no other control host. */
  template<typename Action>
  void Perform(const HostId& /*aHost*/, const Action& /*aAction*/)
  {
  }

  void Perform(const HostId& aHost, consensus::Send& aSend)
  {
    Post(aHost, aSend.to, std::move(aSend.message));
  }
  void Perform(const HostId& aHost, fanout::Send& aSend)
  {
    Post(aHost, aSend.to, std::move(aSend.message));
  }
  void Perform(const HostId& aHost, roster::Send& aSend)
  {
    Post(aHost, aSend.to, std::move(aSend.message));
  }
  void Perform(const HostId& aHost, fanout::Route& aRoute)
  {
    if (!aRoute.address.empty()) {
      hosts.at(aHost).routes.insert(aRoute.host);
    }
  }
  void Perform(const HostId& aHost, roster::SetHostAddress& aRoute)
  {
    hosts.at(aHost).routes.insert(aRoute.host);
  }
  void Perform(const HostId& aHost, consensus::Persist& aPersist)
  {
    hosts.at(aHost).writes.emplace_back(clock.Now() + syncTime,
                                        std::move(aPersist));
  }
  void Perform(const HostId& aHost, consensus::Apply& aApply)
  {
    auto& host = hosts.at(aHost);
    std::string text;
    for (const auto byte : aApply.command) {
      text += static_cast<char>(byte);
    }
    host.number = std::max<std::uint64_t>(host.number, std::stoull(text));
    if (aApply.ticket.Value() > acknowledged) {
      acknowledged = aApply.ticket.Value();
      acknowledgedBy = aHost;
    }
    Handle(aHost,
           fanout::Event{
             fanout::Accepted{ ChangeNumber{ host.number },
                               std::make_shared<const change::Sections>() } });
  }
  void Perform(const HostId& aHost, consensus::TakeSnapshot& aTake)
  {
    const auto text = std::to_string(hosts.at(aHost).number);
    const auto bytes = std::as_bytes(std::span{ text });
    Handle(aHost,
           consensus::Event{ consensus::SnapshotTaken{
             aTake.index, { bytes.begin(), bytes.end() } } });
  }
  void Perform(const HostId& aHost, consensus::Restore& aRestore)
  {
    std::string text;
    for (const auto byte : aRestore.data) {
      text += static_cast<char>(byte);
    }
    hosts.at(aHost).number = std::stoull(text);
  }
  void Perform(const HostId& aHost, consensus::LeaderConfirmed& /*aConfirmed*/)
  {
    mConfirmed = aHost;
  }
  void Perform(const HostId& aHost, consensus::LeaderChanged& aChanged)
  {
    if (aChanged.leader == aHost) {
      Note("leader " + aHost.String());
    }
    Handle(aHost,
           fanout::Event{ fanout::LeaderChanged{ aChanged.leader, false } });
  }
  void Perform(const HostId& aHost,
               consensus::LeadershipEstablished& aEstablished)
  {
    Handle(aHost,
           fanout::Event{ fanout::LeaderChanged{ aEstablished.leader, true } });
  }
  void Perform(const HostId& aHost, fanout::Publish& aPublish)
  {
    Handle(aHost, fanout::Event{ fanout::Published{ aPublish.number } });
    Handle(aHost,
           roster::Event{ roster::ConfigurationUpdated{ aPublish.number } });
  }
  void Perform(const HostId& aHost, roster::ControlHostsChanged& aChanged)
  {
    consensus::StandbyHostsUpdated known;
    fanout::ControlHostsChanged changed;
    for (const auto& control : aChanged.hosts) {
      known.standbyHosts.insert({ control.host, control.zone });
      changed.hosts.push_back(control.host);
    }
    Handle(aHost, consensus::Event{ std::move(known) });
    Handle(aHost, fanout::Event{ std::move(changed) });
  }
  void Perform(const HostId& aHost, consensus::MembersUpdated& aUpdated)
  {
    for (const auto& member :
         MemberAddresses(SettingsOf(aHost), aUpdated.members)) {
      hosts.at(aHost).routes.insert(member.host);
    }
    if (aHost == Leader()) {
      Note("members" + TextOf(aUpdated.members));
    }
  }
  void Perform(const HostId& aHost, roster::ConfigurationAdvertised& aOne)
  {
    Handle(aHost,
           fanout::Event{ fanout::NumberAdvertised{
             aOne.host, aOne.number, aOne.sameZone } });
  }

  std::uint32_t mLosses;
  Duration mCatchUp;
  std::uint64_t mSeed;
  std::uint64_t mLastNumber{};
  HostId mConfirmed;
  std::map<HostId, std::vector<Delivery>> mHeld;
  bool mFirstStart{ false };
};

} // namespace balsampoint::daemon::test
