#pragma once

#include "balsampoint/fanout/module.hpp"
#include "balsampoint/fanout/query/in_force.hpp"
#include "fake/clock.hpp"
#include "fake/network.hpp"

#include <functional>
#include <set>

namespace balsampoint::fanout::test {

/** @brief Simulates a distribution tree of hosts in zones, in virtual time. */
class Tree
{
public:
  /** @brief One host. */
  struct Host
  {
    State state;
    std::uint64_t starts{};
    bool up{ false };
    /** Number in force since the last start; must not decrease. */
    ChangeNumber published;
    /** Messages sent and received. */
    std::uint64_t messages{};
    /** Bytes of these messages; counted only if `sizeOf` is set. */
    std::uint64_t bytes{};
  };

  /**
   * @brief Starts hosts; the first is the leader of the control group.
   * @param aHosts Number of hosts.
   * @param aZones Number of zones; host i is in zone i modulo this.
   * @param aSeeds Number of control hosts, which come first.
   * @param aSeed Seed of the network's faults.
   */
  Tree(std::size_t aHosts,
       std::size_t aZones,
       std::size_t aSeeds,
       std::uint64_t aSeed)
    : network{ aSeed }
    , mZones{ aZones }
  {
    for (std::size_t i = 0; i < aSeeds; ++i) {
      mSeeds.push_back(Name(i));
    }
    for (std::size_t i = 0; i < aHosts; ++i) {
      mIndex[Name(i)] = i;
      Start(Name(i));
    }
    Lead(Name(0));
  }

  static HostId Name(std::size_t aIndex)
  {
    return HostId{ "host-" + std::to_string(1000 + aIndex) };
  }

  ZoneId Zone(const HostId& aHost) const
  {
    return ZoneId{ "zone-" + std::to_string(mIndex.at(aHost) % mZones) };
  }

  void Start(const HostId& aHost)
  {
    auto& host = hosts[aHost];
    ++host.starts;
    host.up = true;
    host.published = {};
    Settings settings;
    settings.self = { .host = aHost,
                      .incarnation = Incarnation{ host.starts },
                      .zone = Zone(aHost),
                      .address = "10.0.0.1:7000" };
    settings.seeds = mSeeds;
    host.state = Module::Start(settings, clock.Now());
    Schedule(aHost, host);
  }

  void Kill(const HostId& aHost) { hosts.at(aHost).up = false; }

  /** @brief Reports the leader to all control hosts. */
  void Lead(const HostId& aLeader)
  {
    for (const auto& seed : mSeeds) {
      Handle(seed, LeaderChanged{ aLeader });
    }
  }

  /** @brief Delivers an accepted configuration to all control hosts. */
  void Accept(std::uint64_t aNumber, change::Sections aSections)
  {
    const auto sections =
      std::make_shared<const change::Sections>(std::move(aSections));
    for (const auto& seed : mSeeds) {
      Handle(seed, Accepted{ ChangeNumber{ aNumber }, sections });
    }
  }

  void CutZone(const ZoneId& aZone, bool aCut)
  {
    for (const auto& [one, first] : hosts) {
      for (const auto& [other, second] : hosts) {
        if ((Zone(one) == aZone) != (Zone(other) == aZone)) {
          network.Cut(one, other, aCut);
        }
      }
    }
  }

  void Run(Duration aFor)
  {
    const auto limit = clock.Now() + aFor;
    while (Step(limit)) {
    }
  }

  /** @brief Runs until a condition holds and returns the time that took;
   * `Duration::max()` if it doesn't hold within the limit. */
  Duration TimeUntil(const std::function<bool()>& aHolds, Duration aAtMost)
  {
    const auto start = clock.Now();
    const auto limit = start + aAtMost;
    while (!aHolds()) {
      if (!Step(limit)) {
        return aHolds() ? clock.Now() - start : Duration::max();
      }
    }
    return clock.Now() - start;
  }

  /** @brief Whether all running hosts outside `aExcept` have a configuration in
   * force. */
  bool Everywhere(std::uint64_t aNumber, const ZoneId& aExcept = {}) const
  {
    for (const auto& [id, host] : hosts) {
      if (host.up && Zone(id) != aExcept &&
          host.published < ChangeNumber{ aNumber }) {
        return false;
      }
    }
    return true;
  }

  InForce Describe(const HostId& aHost) const
  {
    return DescribeInForce(hosts.at(aHost).state, clock.Now());
  }

  fake::Clock clock;
  fake::Network<Message> network;
  std::map<HostId, Host> hosts;
  /** Returns the encoded size of a message; set by benchmarks. */
  std::function<std::uint64_t(const Message&)> sizeOf;
  /** Whether a host published an older configuration than before. */
  bool reverted{ false };

private:
  using Due = std::set<std::pair<Instant, HostId>>;

  void Schedule(const HostId& aHost, const Host& aTimed)
  {
    const auto found = mDueOf.find(aHost);
    if (found != mDueOf.end()) {
      mDue.erase({ found->second, aHost });
    }
    const auto next = Module::NextDeadline(aTimed.state);
    mDueOf[aHost] = next;
    mDue.emplace(next, aHost);
  }

  void Handle(const HostId& aHost, const Event& aEvent)
  {
    auto& host = hosts.at(aHost);
    if (!host.up) {
      return;
    }
    Actions actions;
    Module::Handle(host.state, aEvent, clock.Now(), actions);
    RunActions(aHost, actions);
  }

  bool Step(Instant aLimit)
  {
    const auto next = std::min(network.NextArrival(),
                               mDue.empty() ? kNever : mDue.begin()->first);
    if (next > aLimit) {
      clock.Advance(aLimit - clock.Now());
      return false;
    }
    clock.Advance(std::max(Duration{}, next - clock.Now()));
    if (auto delivery = network.Receive(clock.Now())) {
      Count(delivery->to, delivery->message);
      Handle(delivery->to, Received{ delivery->from, delivery->message });
      return true;
    }
    if (mDue.empty() || mDue.begin()->first > clock.Now()) {
      return true;
    }
    const auto id = mDue.begin()->second;
    auto& host = hosts.at(id);
    if (!host.up) {
      mDue.erase(mDue.begin());
      mDueOf.erase(id);
      return true;
    }
    Actions actions;
    Module::Tick(host.state, clock.Now(), actions);
    RunActions(id, actions);
    return true;
  }

  void Count(const HostId& aHost, const Message& aMessage)
  {
    auto& host = hosts.at(aHost);
    ++host.messages;
    host.bytes += sizeOf ? sizeOf(aMessage) : 0;
  }

  void RunActions(const HostId& aHost, Actions& aActions)
  {
    auto& host = hosts.at(aHost);
    std::optional<ChangeNumber> published;
    for (auto& action : aActions) {
      if (auto* send = std::get_if<Send>(&action)) {
        Count(aHost, send->message);
        network.Send(clock.Now(),
                     { aHost, send->to, std::move(send->message) });
      } else if (const auto* publish = std::get_if<Publish>(&action)) {
        reverted = reverted || publish->number < host.published;
        host.published = publish->number;
        published = publish->number;
      }
    }
    if (published) {
      Handle(aHost, Published{ *published });
    }
    Schedule(aHost, host);
  }

  std::size_t mZones;
  std::vector<HostId> mSeeds;
  std::map<HostId, std::size_t> mIndex;
  Due mDue;
  std::map<HostId, Instant> mDueOf;
};

} // namespace balsampoint::fanout::test
