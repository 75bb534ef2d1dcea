#pragma once

#include "balsampoint/core/concepts.hpp"
#include "balsampoint/runtime/mailbox.hpp"

#include <algorithm>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

namespace balsampoint::runtime {

/**
 * @brief The event loop of the control thread. Owns the state of all modules.
 *
 * Blocks on the mailbox until an event arrives or a module's tick is due, then
 * passes the module's actions to the runner. Ends when the mailbox is closed
 * and empty.
 * @tparam Clock Source of the time.
 * @tparam Runner Performs actions: `Run(const Action&)` for each module.
 * @tparam Modules The decision modules.
 */
template<ClockSource Clock, typename Runner, ControlModule... Modules>
class BasicControlLoop
{
public:
  /** @brief An event of any of the modules. */
  using Event = std::variant<typename Modules::Event...>;
  /** @brief The states of all modules. */
  using States = std::tuple<typename Modules::State...>;

  /**
   * @brief Creates the loop; nothing runs before `Run`.
   * @param aMailbox Queue of events; must outlive the loop.
   * @param aRunner Performs the actions; must outlive the loop.
   * @param aStates Initial states of the modules.
   * @param aClock Source of the time.
   */
  BasicControlLoop(Mailbox<Event>& aMailbox,
                   Runner& aRunner,
                   States aStates,
                   Clock aClock = {})
    : mMailbox{ aMailbox }
    , mRunner{ aRunner }
    , mStates{ std::move(aStates) }
    , mClock{ aClock }
  {
  }

  /** @brief Handles events until the mailbox is closed and empty. */
  void Run()
  {
    TickDue(mClock.Now());
    while (true) {
      auto event = mMailbox.Pop(UntilNextDeadline(mClock.Now()));
      if (!event && mMailbox.Closed()) {
        return;
      }
      const auto now = mClock.Now();
      if (event) {
        Dispatch(*event, now);
      }
      TickDue(now);
    }
  }

private:
  template<typename Module>
  typename Module::State& StateOf()
  {
    return std::get<typename Module::State>(mStates);
  }

  Duration UntilNextDeadline(Instant aNow)
  {
    const Instant next =
      std::min({ kNever, Modules::NextDeadline(StateOf<Modules>())... });
    if (next == kNever) {
      return Duration::max();
    }
    return std::max(Duration::zero(), next - aNow);
  }

  void Dispatch(const Event& aEvent, Instant aNow)
  {
    (DispatchTo<Modules>(aEvent, aNow), ...);
  }

  template<typename Module>
  void DispatchTo(const Event& aEvent, Instant aNow)
  {
    const auto* event = std::get_if<typename Module::Event>(&aEvent);
    if (event == nullptr) {
      return;
    }
    std::vector<typename Module::Action> actions;
    Module::Handle(StateOf<Module>(), *event, aNow, actions);
    RunAll(actions);
  }

  void TickDue(Instant aNow) { (TickIfDue<Modules>(aNow), ...); }

  template<typename Module>
  void TickIfDue(Instant aNow)
  {
    if (Module::NextDeadline(StateOf<Module>()) > aNow) {
      return;
    }
    std::vector<typename Module::Action> actions;
    Module::Tick(StateOf<Module>(), aNow, actions);
    RunAll(actions);
  }

  template<typename Action>
  void RunAll(const std::vector<Action>& aActions)
  {
    for (const auto& action : aActions) {
      mRunner.Run(action);
    }
  }

  Mailbox<Event>& mMailbox;
  Runner& mRunner;
  States mStates;
  Clock mClock;
};

} // namespace balsampoint::runtime
