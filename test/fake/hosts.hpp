#pragma once

#include "balsampoint/member/module.hpp"
#include "balsampoint/registry/module.hpp"
#include "fake/network.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace balsampoint::fake {

/** @brief One host that runs membership and registry on virtual time. */
struct Host
{
  member::State member;
  registry::State registry;
  std::shared_ptr<const registry::View> view;
  bool running{ true };
};

/** @brief Hosts joined by a network on virtual time. */
class Hosts
{
public:
  using Message = std::variant<member::Message, registry::Message>;
  using SentHook =
    std::function<void(const HostId&, const HostId&, const Message&)>;

  explicit Hosts(std::uint64_t aSeed)
    : network{ aSeed }
    , mRandom{ aSeed }
  {
  }

  /**
   * @brief Starts a host, or starts it again with a new incarnation.
   * @param aId Its id and address.
   * @param aZone Its zone.
   * @param aSeeds Addresses of its seeds.
   */
  void Start(const HostId& aId,
             const ZoneId& aZone,
             std::span<const HostId> aSeeds)
  {
    member::Settings settings{ .self = { .id = aId,
                                         .zone = aZone,
                                         .address = aId.String(),
                                         .incarnation =
                                           Incarnation{ ++mStarts } } };
    for (const auto& seed : aSeeds) {
      settings.seeds.push_back({ .id = seed, .address = seed.String() });
    }
    hosts[aId] = { .member = member::MakeState(settings, mRandom.Next()),
                   .registry = { .settings = { .self = aId, .zone = aZone },
                                 .random = SplitMix64{ mRandom.Next() } } };
    Reschedule(aId, now + Jitter());
  }

  /** @brief Ends a host without a word. */
  void Kill(const HostId& aId) { hosts.at(aId).running = false; }

  /** @brief Delivers an event to a host's registry. */
  std::vector<registry::Action> Tell(const HostId& aId,
                                     const registry::Event& aEvent)
  {
    std::vector<registry::Action> actions;
    registry::Module::Handle(hosts.at(aId).registry, aEvent, now, actions);
    RunActions(aId, actions);
    Reschedule(aId, Deadline(hosts.at(aId)));
    return actions;
  }

  /** @brief Delivers an event to a host's membership. */
  void Tell(const HostId& aId, const member::Event& aEvent)
  {
    std::vector<member::Action> actions;
    member::Module::Handle(hosts.at(aId).member, aEvent, now, actions);
    RunActions(aId, actions);
    Reschedule(aId, Deadline(hosts.at(aId)));
  }

  /** @brief Runs everything that happens up to a time. */
  void RunTo(Instant aEnd)
  {
    while (true) {
      const auto due = mDue.empty() ? kNever : mDue.begin()->first;
      const auto next = std::min(due, network.NextArrival());
      if (next > aEnd) {
        break;
      }
      now = std::max(now, next);
      if (auto delivery = network.Receive(now)) {
        Deliver(*delivery);
      } else if (due <= now) {
        TickNext();
      }
    }
    now = aEnd;
  }

  /** @brief Cuts or heals both directions between two groups of hosts. */
  void CutBetween(std::span<const HostId> aLeft,
                  std::span<const HostId> aRight,
                  bool aCut)
  {
    for (const auto& left : aLeft) {
      for (const auto& right : aRight) {
        network.Cut(left, right, aCut);
        network.Cut(right, left, aCut);
      }
    }
  }

  /** @brief Whether a host's published view shows a server. */
  [[nodiscard]] bool Shows(const HostId& aId, const ServerId& aServer) const
  {
    const auto& view = hosts.at(aId).view;
    return view != nullptr &&
           std::ranges::any_of(view->servers, [&](const auto& aOne) {
             return aOne.announcement.server == aServer;
           });
  }

  std::map<HostId, Host> hosts;
  Network<Message> network;
  Instant now{};
  /** Called for each message sent. */
  SentHook onSent;

private:
  Duration Jitter()
  {
    constexpr std::uint64_t kSpread = 500'000'000;
    return Duration{ static_cast<Duration::rep>(mRandom.Next() % kSpread) };
  }

  static Instant Deadline(const Host& aHost)
  {
    return std::min(member::Module::NextDeadline(aHost.member),
                    registry::Module::NextDeadline(aHost.registry));
  }

  void Reschedule(const HostId& aId, Instant aDue)
  {
    if (const auto found = mDueOf.find(aId); found != mDueOf.end()) {
      mDue.erase({ found->second, aId });
    }
    mDueOf[aId] = aDue;
    mDue.emplace(aDue, aId);
  }

  void TickNext()
  {
    const auto id = mDue.begin()->second;
    auto& host = hosts.at(id);
    if (!host.running) {
      Reschedule(id, kNever);
      return;
    }
    std::vector<member::Action> memberActions;
    member::Module::Tick(host.member, now, memberActions);
    RunActions(id, memberActions);
    std::vector<registry::Action> registryActions;
    registry::Module::Tick(host.registry, now, registryActions);
    RunActions(id, registryActions);
    Reschedule(id, Deadline(host));
  }

  void Deliver(const Network<Message>::Delivery& aDelivery)
  {
    const auto found = hosts.find(aDelivery.to);
    if (found == hosts.end() || !found->second.running) {
      return;
    }
    if (const auto* one = std::get_if<member::Message>(&aDelivery.message)) {
      Tell(aDelivery.to,
           member::Event{ member::Received{ aDelivery.from, *one } });
      return;
    }
    Tell(aDelivery.to,
         registry::Event{ registry::Received{
           aDelivery.from, std::get<registry::Message>(aDelivery.message) } });
  }

  void Send(const HostId& aFrom, const HostId& aTo, Message aMessage)
  {
    if (onSent) {
      onSent(aFrom, aTo, aMessage);
    }
    network.Send(now,
                 { .from = aFrom, .to = aTo, .message = std::move(aMessage) });
  }

  void RunActions(const HostId& aId, std::span<const member::Action> aActions)
  {
    for (const auto& action : aActions) {
      if (const auto* send = std::get_if<member::Send>(&action)) {
        Send(aId, HostId{ send->address }, send->message);
      } else if (const auto* publish = std::get_if<member::Publish>(&action)) {
        Tell(aId, registry::Event{ registry::HostsChanged{ publish->view } });
      }
    }
  }

  void RunActions(const HostId& aId, std::span<const registry::Action> aActions)
  {
    for (const auto& action : aActions) {
      if (const auto* send = std::get_if<registry::Send>(&action)) {
        Send(aId, send->to, send->message);
      } else if (const auto* publish =
                   std::get_if<registry::Publish>(&action)) {
        hosts.at(aId).view = publish->view;
      }
    }
  }

  Random mRandom;
  std::uint64_t mStarts{};
  std::map<HostId, Instant> mDueOf;
  std::set<std::pair<Instant, HostId>> mDue;
};

} // namespace balsampoint::fake
