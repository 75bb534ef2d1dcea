#pragma once

#include "balsampoint/consensus/state.hpp"

namespace balsampoint::consensus {

/** @brief The module as the control thread runs it. */
struct Module
{
  using State = consensus::State;
  using Event = consensus::Event;
  using Action = consensus::Action;

  /**
   * @brief Starts a member from what its disk gave back.
   * @param aSettings Fixed values of the host.
   * @param aRecovered Content of the disk; empty on a first start.
   * @param aSeed Starts the sequence of election timeouts.
   * @param aNow The time.
   * @param aActions Receives the first actions.
   * @return The state, or `ErrorKind::InvalidConfiguration`.
   */
  [[nodiscard]] static tl::expected<State, Error> Start(Settings aSettings,
                                                        Recovered aRecovered,
                                                        std::uint64_t aSeed,
                                                        Instant aNow,
                                                        Actions& aActions);

  /**
   * @brief Reacts to one event.
   * @param aState State to change.
   * @param aEvent The event.
   * @param aNow The time.
   * @param aActions Receives the actions.
   */
  static void Handle(State& aState,
                     const Event& aEvent,
                     Instant aNow,
                     Actions& aActions);

  /**
   * @brief Does what has become due.
   * @param aState State to change.
   * @param aNow The time.
   * @param aActions Receives the actions.
   */
  static void Tick(State& aState, Instant aNow, Actions& aActions);

  /**
   * @brief Tells when `Tick` is due.
   * @param aState State to read.
   * @return The time; `kNever` for none.
   */
  [[nodiscard]] static Instant NextDeadline(const State& aState);
};

} // namespace balsampoint::consensus
