#pragma once

#include "balsampoint/limit/command/follow_demand.hpp"
#include "balsampoint/limit/query/levels.hpp"

#include <chrono>
#include <string>

namespace balsampoint::test {

inline const ServiceId kService{ "verse" };

/** @brief A service with engines and public routes of given priorities. */
[[nodiscard]] inline routing::Document
Routes(const std::vector<std::uint32_t>& aPriorities)
{
  routing::Document document;
  document.services[kService] = { .id = kService,
                                  .engine = routing::EngineProfile{} };
  for (const auto priority : aPriorities) {
    document.routes.push_back({ .name = "r" + std::to_string(priority),
                                .priority = priority,
                                .targets = { { kService, 1 } },
                                .isPublic = true });
  }
  return document;
}

/** @brief State of a host with that service. */
[[nodiscard]] inline limit::Shortage
MakeShortage(const std::vector<std::uint32_t>& aPriorities = { 0, 1, 2 })
{
  limit::Shortage state;
  static_cast<void>(limit::FollowConfiguration(state, Routes(aPriorities)));
  return state;
}

} // namespace balsampoint::test
