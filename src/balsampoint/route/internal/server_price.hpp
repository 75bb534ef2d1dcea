#pragma once

#include "balsampoint/route/concepts.hpp"

namespace balsampoint::route::internal {

/** @brief Prices servers by the time that a request's layer should take. */
class ServerPrice
{
public:
  /**
   * @brief Keeps what prices depend on; both outlive the object.
   * @param aOutlook Servers and load.
   * @param aWish What the chain must do.
   */
  ServerPrice(Outlook aOutlook, const Wish& aWish);

  /**
   * @brief Expected seconds for one layer of one token at a server.
   * @param aNode The server.
   */
  [[nodiscard]] double Layer(const Node& aNode) const;

  /**
   * @brief Expected seconds on the network for one token.
   * @param aNode The server.
   */
  [[nodiscard]] double Hop(const Node& aNode) const;

  /**
   * @brief Whether a server may be chosen at all.
   * @param aNode The server.
   */
  [[nodiscard]] bool Usable(const Node& aNode) const;

private:
  [[nodiscard]] bool IsCached(const Node& aNode) const;
  [[nodiscard]] bool IsAvoided(const Node& aNode) const;
  [[nodiscard]] bool HasRoom(const Node& aNode) const;

  Outlook mOutlook;
  const Wish& mWish;
};

/**
 * @brief Finds the chain of the lowest price among the usable servers.
 * @param aGraph The servers.
 * @param aWish What the chain must do.
 * @param aPrice Prices the servers.
 * @return The chain, or `ErrorKind::NoServer`.
 */
[[nodiscard]] tl::expected<Chain, Error>
CheapestChain(const Graph& aGraph,
              const Wish& aWish,
              const ServerPrice& aPrice);

} // namespace balsampoint::route::internal
