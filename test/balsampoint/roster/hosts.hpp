#pragma once

#include "balsampoint/roster/module.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace balsampoint::test {

using namespace std::chrono_literals;

/**
 * @brief Hosts that deliver messages to each other at once unless the link
 * is cut.
 */
class HostSet
{
public:
  void Add(std::string_view aName,
           bool aIsControlHost,
           std::string_view aZone = "a")
  {
    const HostId host{ std::string{ aName } };
    roster::Settings settings{ .self = host,
                               .incarnation = Incarnation{ 1 },
                               .address = host.String() + ":1",
                               .zone = ZoneId{ std::string{ aZone } },
                               .isControlHost = aIsControlHost,
                               .departureCopies = departureCopies };
    for (const auto* seed : { "c1", "c2" }) {
      settings.seeds.push_back({ HostId{ seed }, std::string{ seed } + ":1" });
    }
    mStates.emplace(host, roster::Module::Start(settings, mNow));
  }

  /** @brief Starts a host again, which then knows nothing of before. */
  void Restart(std::string_view aHost)
  {
    auto& state = mStates.at(HostId{ std::string{ aHost } });
    auto settings = state.settings;
    settings.incarnation = settings.incarnation.Next();
    state = roster::Module::Start(std::move(settings), mNow);
  }

  void Deliver(std::string_view aHost, const roster::Event& aEvent)
  {
    const HostId host{ std::string{ aHost } };
    roster::Actions actions;
    roster::Module::Handle(mStates.at(host), aEvent, mNow, actions);
    RunActions(host, actions);
  }

  void Run(Duration aTime)
  {
    const auto end = mNow + aTime;
    while (mNow < end) {
      mNow = std::min(end, mNow + 50ms);
      for (auto& [host, state] : mStates) {
        if (stopped.contains(host) ||
            roster::Module::NextDeadline(state) > mNow) {
          continue;
        }
        roster::Actions actions;
        roster::Module::Tick(state, mNow, actions);
        RunActions(host, actions);
      }
    }
  }

  const roster::Server* Find(std::string_view aHost,
                             std::string_view aServer) const
  {
    const auto view = mStates.at(HostId{ std::string{ aHost } }).view;
    if (!view) {
      return nullptr;
    }
    for (const auto& server : view->servers) {
      if (server.claim.server.Value() == aServer) {
        return &server;
      }
    }
    return nullptr;
  }

  /** Copies of departures that hosts added from now on wait for. */
  std::size_t departureCopies{ 1 };
  /** Answers to servers that leave: whether the departure is kept. */
  std::map<Ticket, bool> answers;
  std::set<HostId> stopped;
  /** Links that drop messages, as pairs of sender and receiver. */
  std::set<std::pair<HostId, HostId>> cut;
  /** Newest number that was advertised to each host. */
  std::map<HostId, ChangeNumber> advertisedNumbers;
  /** Last change of role that each host reported. */
  std::map<HostId, roster::RoleChanged> roles;
  /** Messages that reached each host. */
  std::map<HostId, std::size_t> received;

  [[nodiscard]] Instant Now() const { return mNow; }

  [[nodiscard]] const roster::State& StateOf(std::string_view aHost) const
  {
    return mStates.at(HostId{ std::string{ aHost } });
  }

private:
  void RunActions(const HostId& aFrom, const roster::Actions& aActions)
  {
    for (const auto& action : aActions) {
      if (const auto* advertised =
            std::get_if<roster::ConfigurationAdvertised>(&action)) {
        auto& newest = advertisedNumbers[aFrom];
        newest = std::max(newest, advertised->number);
      }
      if (const auto* role = std::get_if<roster::RoleChanged>(&action)) {
        roles[aFrom] = *role;
      }
      if (const auto* answered =
            std::get_if<roster::DepartureAnswered>(&action)) {
        answers[answered->ticket] = answered->kept;
      }
      const auto* send = std::get_if<roster::Send>(&action);
      if (send == nullptr || !mStates.contains(send->to) ||
          stopped.contains(send->to) || stopped.contains(aFrom) ||
          cut.contains({ aFrom, send->to })) {
        continue;
      }
      ++received[send->to];
      Deliver(send->to.Value(), roster::Received{ aFrom, send->message });
    }
  }

  Instant mNow{ 1h };
  std::map<HostId, roster::State> mStates;
};

} // namespace balsampoint::test
