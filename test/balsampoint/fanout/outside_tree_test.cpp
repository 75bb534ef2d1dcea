#include "balsampoint/fanout/module.hpp"

#include <chrono>
#include <criterion/criterion.h>
#include <optional>

using namespace balsampoint;
using namespace balsampoint::fanout;
using namespace std::chrono_literals;

namespace {

/** @brief A host that is no part of the tree. */
class Outsider
{
public:
  Outsider()
  {
    Settings settings;
    settings.self = { .host = HostId{ "e" } };
    settings.seeds = { HostId{ "c1" }, HostId{ "c2" } };
    settings.joinsTree = false;
    settings.fetchDelay = 60ms;
    mState = Module::Start(settings, mNow);
  }

  void Handle(const Event& aEvent)
  {
    Module::Handle(mState, aEvent, mNow, actions);
  }

  void Advertise(std::string_view aHost, std::uint64_t aNumber, bool aSameZone)
  {
    Handle(NumberAdvertised{
      HostId{ std::string{ aHost } }, ChangeNumber{ aNumber }, aSameZone });
  }

  void Answer(std::uint64_t aNumber)
  {
    const Update update{ .number = ChangeNumber{ aNumber },
                         .whole = true,
                         .delta = { { { "document", "text" } }, {} } };
    Handle(Received{ HostId{ "c1" }, update });
  }

  void Run(Duration aTime)
  {
    const auto end = mNow + aTime;
    while (mNow < end) {
      mNow += 10ms;
      if (Module::NextDeadline(mState) <= mNow) {
        Module::Tick(mState, mNow, actions);
      }
    }
  }

  /** @brief Host that was last asked for a configuration; empty for none. */
  [[nodiscard]] std::string Asked() const
  {
    std::string asked;
    for (const auto& action : actions) {
      const auto* send = std::get_if<Send>(&action);
      if (send != nullptr && std::holds_alternative<Fetch>(send->message)) {
        asked = send->to.String();
      }
    }
    return asked;
  }

  [[nodiscard]] bool HasJoined() const
  {
    for (const auto& action : actions) {
      const auto* send = std::get_if<Send>(&action);
      if (send != nullptr &&
          std::holds_alternative<JoinRequest>(send->message)) {
        return true;
      }
    }
    return false;
  }

  [[nodiscard]] std::optional<std::uint64_t> Published() const
  {
    std::optional<std::uint64_t> number;
    for (const auto& action : actions) {
      if (const auto* publish = std::get_if<Publish>(&action)) {
        number = publish->number.Value();
      }
    }
    return number;
  }

  Actions actions;

private:
  Instant mNow{ 1h };
  State mState;
};

} // namespace

// Guards against a leader that has to keep up with hundreds of entry hosts.
Test(fanout_outside_tree, a_host_outside_the_tree_sends_no_join_request)
{
  Outsider host;
  host.Run(10s);
  cr_assert_not(host.HasJoined());
}

Test(fanout_outside_tree, the_own_zone_is_asked_for_an_advertised_change)
{
  Outsider host;
  host.Advertise("far", 5, false);
  host.Advertise("near", 5, true);
  host.Advertise("other", 5, false);
  host.Run(100ms);
  cr_assert_eq(host.Asked(), "near");
}

Test(fanout_outside_tree, a_starting_host_waits_for_a_newer_advertisement)
{
  Outsider host;
  host.Advertise("c2", 4, false);
  host.Answer(4);
  host.Run(300ms);
  cr_assert_not(host.Published().has_value());
  host.Advertise("c1", 5, false);
  host.Run(300ms);
  cr_assert_not(host.Published().has_value(), "4 is known to be old");
  host.Answer(5);
  cr_assert_eq(*host.Published(), 5U);
}

Test(fanout_outside_tree, a_lost_fetch_is_repeated)
{
  Outsider host;
  host.Advertise("c1", 5, true);
  host.Run(700ms);
  host.actions.clear();
  host.Advertise("c1", 5, true);
  host.Run(100ms);
  cr_assert_eq(host.Asked(), "c1");
}
