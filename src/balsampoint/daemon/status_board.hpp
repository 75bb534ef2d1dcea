#pragma once

#include "balsampoint/change/state.hpp"
#include "balsampoint/consensus/status.hpp"
#include "balsampoint/fanout/in_force.hpp"
#include "balsampoint/traffic/world.hpp"

#include <span>

namespace balsampoint::daemon {

/** @brief Collects on the control thread what operators may ask about. */
class StatusBoard
{
public:
  /**
   * @brief Starts empty.
   * @param aWorld Where the status is published; outlives the board.
   */
  explicit StatusBoard(traffic::World& aWorld)
    : mWorld{ aWorld }
  {
  }

  /**
   * @brief Takes the state of the control group.
   * @param aStatus The group as this host sees it.
   */
  void Show(const consensus::Status& aStatus);

  /**
   * @brief Takes what is in force where.
   * @param aInForce The hosts as this host knows them.
   */
  void Show(const fanout::InForce& aInForce);

  /**
   * @brief Takes accepted changes into the history.
   * @param aChanges The changes, oldest first.
   */
  void Show(std::span<const change::AcceptedChange> aChanges);

private:
  void Publish();

  traffic::World& mWorld;
  traffic::Status mStatus;
};

} // namespace balsampoint::daemon
