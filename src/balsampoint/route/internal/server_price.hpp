#pragma once

#include "balsampoint/route/concepts.hpp"

namespace balsampoint::route::internal {

/** @brief Prices servers by the expected time of one layer of a request. */
class ServerPrice
{
public:
  /**
   * @brief Keeps references to the arguments, which must outlive the object.
   * @param aInput Servers, load and the current time.
   * @param aRequest Requirements of the chain.
   */
  ServerPrice(PolicyInput aInput, const RouteRequest& aRequest);

  /**
   * @brief Expected time in seconds of one layer of one token at a server, with
   * penalties for avoided zones and full KV.
   * @param aNode The server.
   */
  [[nodiscard]] double LayerPrice(const Node& aNode) const;

  /**
   * @brief Expected network time in seconds between entry zone and server for
   * one token, in both directions.
   * @param aNode The server.
   */
  [[nodiscard]] double HopPrice(const Node& aNode) const;

  /**
   * @brief Whether a server is not excluded.
   * @param aNode The server.
   */
  [[nodiscard]] bool IsUsable(const Node& aNode) const;

private:
  [[nodiscard]] bool IsCached(const Node& aNode) const;
  [[nodiscard]] bool IsAvoided(const Node& aNode) const;
  [[nodiscard]] bool HasFreeKv(const Node& aNode) const;

  PolicyInput mInput;
  const RouteRequest& mRequest;
};

/**
 * @brief Finds the cheapest chain over the usable servers.
 * @param aGraph The servers.
 * @param aRequest Requirements of the chain.
 * @param aPrice Prices of the servers.
 * @return The chain, or `ErrorKind::NoServer`.
 */
[[nodiscard]] tl::expected<Chain, Error>
CheapestChain(const Graph& aGraph,
              const RouteRequest& aRequest,
              const ServerPrice& aPrice);

} // namespace balsampoint::route::internal
