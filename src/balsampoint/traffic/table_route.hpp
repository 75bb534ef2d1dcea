#pragma once

#include "balsampoint/config/document.hpp"
#include "balsampoint/stream/action.hpp"
#include "balsampoint/stream/event.hpp"
#include "balsampoint/stream/state.hpp"
#include "balsampoint/traffic/world.hpp"

#include <span>
#include <vector>

namespace balsampoint::traffic {

/** @brief Chooses the servers of one request from the table of routes. */
class TableRoute
{
public:
  /**
   * @brief Keeps what the choices work with; both outlive the chooser.
   * @param aWorld Where tables and servers are published.
   * @param aPipeline The pipeline of the request.
   */
  TableRoute(World& aWorld, const config::Pipeline& aPipeline);

  TableRoute(const TableRoute&) = delete;
  TableRoute& operator=(const TableRoute&) = delete;
  TableRoute(TableRoute&&) = delete;
  TableRoute& operator=(TableRoute&&) = delete;

  /** @brief Ends the count of the request at all its servers. */
  ~TableRoute();

  /**
   * @brief Chooses servers, waiting for one to appear as long as told.
   * @param aWanted Layers, servers to leave out, and how long to wait.
   * @return The choice, or `NoServer`.
   */
  [[nodiscard]] stream::RouteChosen Choose(const stream::ChooseRoute& aWanted);

  /**
   * @brief Servers of a chain whose lease ended or that restarted.
   * @param aStages The chain.
   * @return The servers; empty while the view is the one last looked at.
   */
  [[nodiscard]] std::vector<stream::ServerGone> Gone(
    std::span<const stream::StageState> aStages);

private:
  [[nodiscard]] tl::expected<route::Chain, Error> Try(
    const route::Table* aTable,
    const stream::ChooseRoute& aWanted);

  World& mWorld;
  const config::Pipeline& mPipeline;
  std::shared_ptr<const registry::View> mView;
  /** Chosen stages that are counted as in use. */
  route::Chain mCounted;
};

} // namespace balsampoint::traffic
