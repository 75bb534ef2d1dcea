#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/edge/dialect.hpp"
#include "balsampoint/edge/traffic.hpp"
#include "balsampoint/routing/table.hpp"

#include <memory>
#include <string_view>
#include <tl/expected.hpp>

namespace balsampoint::edge {

/** @brief What a request is matched with; parts stay empty if it is refused. */
struct Admission
{
  /** Keeps the other members alive. */
  std::shared_ptr<const routing::Table> routes;
  const routing::Route* route{};
  /** Null on public routes. */
  const routing::Workspace* workspace{};
  const routing::Service* service{};
};

/**
 * @brief Finds the route, the workspace and the service of a request.
 * @param aTraffic What requests share.
 * @param aInquiry What the request says.
 * @param aPath Path of its target.
 * @param aInto Receives what was found, also where the request is refused.
 * @return Nothing, or why it is refused.
 */
[[nodiscard]] tl::expected<void, Error>
Admit(Traffic& aTraffic,
      const Inquiry& aInquiry,
      std::string_view aPath,
      Admission& aInto);

} // namespace balsampoint::edge
