#pragma once

#include "balsampoint/route/policy/flow_policy.hpp"
#include "balsampoint/route/router.hpp"
#include "balsampoint/runtime/entropy.hpp"

#include <mutex>
#include <span>

namespace balsampoint::traffic {

/** @brief One host's router, shared by its traffic threads. */
class SharedRouter
{
public:
  /**
   * @brief Chooses a chain and counts it as in use.
   * @param aRoutes The pipeline's servers.
   * @param aRequest What the chain must do.
   * @param aNow The time.
   * @return The chain, or `ErrorKind::NoServer`.
   */
  [[nodiscard]] tl::expected<route::Chain, Error> Choose(
    const route::Routes& aRoutes,
    const route::RouteRequest& aRequest,
    Instant aNow)
  {
    const std::lock_guard lock{ mMutex };
    return mRouter.Choose(aRoutes, aRequest, aNow);
  }

  /**
   * @brief Tells that a chain is no longer in use.
   * @param aChain The chain.
   */
  void Release(std::span<const route::Stage> aChain)
  {
    const std::lock_guard lock{ mMutex };
    mRouter.Release(aChain);
  }

private:
  std::mutex mMutex;
  route::BasicRouter<route::FlowPolicy, runtime::Entropy> mRouter{
    runtime::Entropy{}
  };
};

} // namespace balsampoint::traffic
