#pragma once

#include "balsampoint/roster/module.hpp"
#include "fake/clock.hpp"
#include "fake/network.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace balsampoint::test {

/**
 * @brief Simulates control hosts and the entry hosts of three zones on virtual
 * time, with messages that take time and overtake each other.
 */
class NetworkedHosts
{
public:
  /** @brief A message with the starts of its ends; a connection does not
   * outlive either process. */
  struct Parcel
  {
    roster::Message message;
    std::uint64_t senderStart{};
    std::uint64_t receiverStart{};
  };

  struct Host
  {
    roster::State state;
    std::uint64_t starts{};
    bool up{ false };
    /** Newest number that reached the host since its start. */
    ChangeNumber number;
  };

  /**
   * @brief Starts all hosts.
   * @param aControls Number of control hosts; the first three are the seeds.
   * @param aEntries Number of entry hosts.
   * @param aSeed Seed of the network and of the times of starts.
   */
  NetworkedHosts(std::size_t aControls,
                 std::size_t aEntries,
                 std::uint64_t aSeed)
    : network{ aSeed }
    , mRandom{ aSeed }
  {
    for (std::size_t number = 0; number < aControls; ++number) {
      Add("c" + std::to_string(number), number, true);
    }
    for (std::size_t number = 0; number < aEntries; ++number) {
      Add("e" + std::to_string(number), number, false);
    }
    StartAll();
  }

  [[nodiscard]] std::vector<HostId> Controls() const { return mControls; }

  [[nodiscard]] std::vector<HostId> Entries() const { return mEntries; }

  void Stop(const HostId& aHost) { hosts.at(aHost).up = false; }

  /** @brief Starts the hosts that don't run, within 300 ms of each other. */
  void StartAll()
  {
    constexpr std::uint64_t kSpreadMs = 300;
    for (const auto& [id, host] : hosts) {
      if (!host.up) {
        const std::chrono::milliseconds delay{ mRandom.Next() % kSpreadMs };
        mStarts.emplace(clock.Now() + delay, id);
      }
    }
  }

  /** @brief Lets every control host have a configuration. */
  void Configure(ChangeNumber aNumber)
  {
    for (const auto& id : mControls) {
      if (hosts.at(id).up) {
        Handle(id, roster::ConfigurationUpdated{ aNumber });
      }
    }
  }

  /** @brief Entry hosts that have not heard of a configuration. */
  [[nodiscard]] std::vector<HostId> Without(ChangeNumber aNumber) const
  {
    std::vector<HostId> without;
    for (const auto& id : mEntries) {
      const auto& host = hosts.at(id);
      if (host.up && host.number < aNumber) {
        without.push_back(id);
      }
    }
    return without;
  }

  void Run(Duration aFor)
  {
    const auto limit = clock.Now() + aFor;
    while (Step(limit)) {
    }
  }

  fake::Clock clock;
  fake::Network<Parcel> network;
  std::map<HostId, Host> hosts;
  /** Hosts whose deadline did not move when it was reached: a control thread
   * would run without a pause. They are ticked with the others from then on. */
  std::set<HostId> spinning;

private:
  void Add(const std::string& aName, std::size_t aNumber, bool aIsControl)
  {
    const HostId id{ aName };
    auto& settings = hosts[id].state.settings;
    settings.self = id;
    settings.address = aName + ":1";
    settings.zone = ZoneId{ "zone-" + std::to_string(aNumber % 3) };
    settings.isControlHost = aIsControl;
    for (const auto* seed : { "c0", "c1", "c2" }) {
      settings.seeds.push_back({ HostId{ seed }, std::string{ seed } + ":1" });
    }
    (aIsControl ? mControls : mEntries).push_back(id);
  }

  void Start(const HostId& aHost)
  {
    auto& host = hosts.at(aHost);
    auto settings = host.state.settings;
    ++host.starts;
    settings.incarnation = Incarnation{ host.starts };
    host.state = roster::Module::Start(std::move(settings), clock.Now());
    host.up = true;
    host.number = {};
  }

  bool Step(Instant aLimit)
  {
    auto next = network.NextArrival();
    if (!mStarts.empty()) {
      next = std::min(next, mStarts.begin()->first);
    }
    for (const auto& [id, host] : hosts) {
      if (host.up && !spinning.contains(id)) {
        next = std::min(next, roster::Module::NextDeadline(host.state));
      }
    }
    if (next > aLimit) {
      clock.Advance(std::max(Duration{}, aLimit - clock.Now()));
      return false;
    }
    clock.Advance(std::max(Duration{}, next - clock.Now()));
    if (!mStarts.empty() && mStarts.begin()->first <= clock.Now()) {
      Start(mStarts.begin()->second);
      mStarts.erase(mStarts.begin());
      return true;
    }
    if (const auto delivery = network.Receive(clock.Now())) {
      Deliver(*delivery);
      return true;
    }
    for (auto& [id, host] : hosts) {
      if (host.up && roster::Module::NextDeadline(host.state) <= clock.Now()) {
        roster::Actions actions;
        roster::Module::Tick(host.state, clock.Now(), actions);
        Do(id, actions);
        if (roster::Module::NextDeadline(host.state) <= clock.Now()) {
          spinning.insert(id);
        }
      }
    }
    return true;
  }

  void Deliver(const fake::Network<Parcel>::Delivery& aDelivery)
  {
    const auto& parcel = aDelivery.message;
    const auto& receiver = hosts.at(aDelivery.to);
    if (receiver.up && receiver.starts == parcel.receiverStart &&
        hosts.at(aDelivery.from).starts == parcel.senderStart) {
      Handle(aDelivery.to, roster::Received{ aDelivery.from, parcel.message });
    }
  }

  void Handle(const HostId& aHost, const roster::Event& aEvent)
  {
    roster::Actions actions;
    roster::Module::Handle(hosts.at(aHost).state, aEvent, clock.Now(), actions);
    Do(aHost, actions);
  }

  void Do(const HostId& aHost, const roster::Actions& aActions)
  {
    auto& host = hosts.at(aHost);
    for (const auto& action : aActions) {
      if (const auto* advertised =
            std::get_if<roster::ConfigurationAdvertised>(&action)) {
        if (advertised->number > host.number) {
          host.number = advertised->number;
          // The host fetches the configuration and advertises it in turn.
          Handle(aHost, roster::ConfigurationUpdated{ host.number });
        }
        continue;
      }
      const auto* send = std::get_if<roster::Send>(&action);
      if (send == nullptr || !hosts.contains(send->to)) {
        continue;
      }
      network.Send(
        clock.Now(),
        { aHost,
          send->to,
          { send->message, host.starts, hosts.at(send->to).starts } });
    }
  }

  fake::Random mRandom;
  std::vector<HostId> mControls;
  std::vector<HostId> mEntries;
  std::multimap<Instant, HostId> mStarts;
};

} // namespace balsampoint::test
