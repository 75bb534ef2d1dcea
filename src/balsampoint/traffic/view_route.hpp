#pragma once

#include "balsampoint/config/document.hpp"
#include "balsampoint/stream/action.hpp"
#include "balsampoint/stream/event.hpp"
#include "balsampoint/traffic/world.hpp"

namespace balsampoint::traffic {

/** @brief Chooses routes from the servers that this host knows of. */
class ViewRoute
{
public:
  /**
   * @brief Keeps what the choices work with; both outlive the chooser.
   * @param aWorld Where the servers are published.
   * @param aPipeline The pipeline of the request.
   */
  ViewRoute(const World& aWorld, const config::Pipeline& aPipeline)
    : mWorld{ aWorld }
    , mPipeline{ aPipeline }
  {
  }

  /**
   * @brief Chooses servers, waiting for one to appear as long as told.
   * @param aWanted Layers, servers to leave out, and how long to wait.
   * @return The choice, or `NoServer`.
   */
  [[nodiscard]] stream::RouteChosen Choose(const stream::ChooseRoute& aWanted);

private:
  const World& mWorld;
  const config::Pipeline& mPipeline;
};

} // namespace balsampoint::traffic
