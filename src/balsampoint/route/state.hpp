#pragma once

#include "balsampoint/config/document.hpp"
#include "balsampoint/registry/view.hpp"
#include "balsampoint/route/chain.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace balsampoint::route {

/** @brief The network between two availability zones, in both directions. */
struct Link
{
  ZoneId one;
  ZoneId other;
  /** Bytes per second in each direction; zero for no limit. */
  double bytesPerSecond{};
  /** One-way latency. */
  Duration delay{};

  bool operator==(const Link&) const = default;
};

/** @brief One server that holds layers of the graph's pipeline. */
struct Node
{
  /** The server, with all layers that it holds. */
  Stage stage;
  std::uint64_t kvCapacityTokens{};
  registry::Load load;
  /** Time at which the load was reported, by this host's clock. */
  Instant reportedAt{};
};

/** @brief The servers that accept new requests of one pipeline; immutable. */
struct Graph
{
  PipelineId pipeline;
  std::uint32_t layers{};
  /** Bytes sent from one stage to the next for one token. */
  std::uint64_t activationBytes{};
  /** Ready servers, in the order of server ids. */
  std::vector<Node> nodes;
  std::vector<Link> links;

  /**
   * @brief Collects the servers that hold layers of a pipeline.
   * @param aPipeline The pipeline.
   * @param aServers Live servers, in the order of their ids; only ready ones
   * are used.
   * @param aLinks Links between zones with a limit or latency.
   * @return The graph.
   */
  [[nodiscard]] static Graph Make(const config::Pipeline& aPipeline,
                                  std::span<const registry::Server> aServers,
                                  std::span<const Link> aLinks);
};

} // namespace balsampoint::route
