#pragma once

#include "balsampoint/consensus/state.hpp"

namespace balsampoint::consensus {

/** @brief Interface of the module to the control thread. */
struct Module
{
  using State = consensus::State;
  using Event = consensus::Event;
  using Action = consensus::Action;

  /**
   * @brief Creates the state of a member from the content of its disk.
   * @param aSettings Configuration of the member.
   * @param aRecovered Content of the disk; empty on a first start.
   * @param aSeed Seed of the random election timeouts.
   * @param aNow Current time.
   * @param aActions Receives the resulting actions.
   * @return The state; `ErrorKind::InvalidConfiguration` if the settings are
   * inconsistent, `ErrorKind::StorageFailed` if the log has a gap.
   */
  [[nodiscard]] static tl::expected<State, Error> Start(Settings aSettings,
                                                        Recovered aRecovered,
                                                        std::uint64_t aSeed,
                                                        Instant aNow,
                                                        Actions& aActions);

  /**
   * @brief Handles one event.
   * @param aState State to change.
   * @param aEvent The event.
   * @param aNow Current time.
   * @param aActions Receives the resulting actions.
   */
  static void Handle(State& aState,
                     const Event& aEvent,
                     Instant aNow,
                     Actions& aActions);

  /**
   * @brief Runs the timers that have expired.
   * @param aState State to change.
   * @param aNow Current time.
   * @param aActions Receives the resulting actions.
   */
  static void Tick(State& aState, Instant aNow, Actions& aActions);

  /**
   * @brief Time of the earliest pending timer.
   * @param aState State to read.
   * @return When to call `Tick` next; `kNever` if no timer is pending.
   */
  [[nodiscard]] static Instant NextDeadline(const State& aState);
};

} // namespace balsampoint::consensus
