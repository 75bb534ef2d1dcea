#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/layer_range.hpp"

#include <optional>
#include <string>

namespace balsampoint::fleet {

/** @brief A server as the choice for one request sees it. */
struct Candidate
{
  ServerId server;
  /** IP address and port. */
  std::string address;
  ZoneId zone;
  /** Layers that it holds; absent if it has reported none. */
  std::optional<LayerRange> layers;
  /** Cost of all its layers, in ms per event, or the score of a server without
   * layers; absent if it can't run the request. Both include the random weight
   * of this choice, neither the way to the server. */
  std::optional<double> cost;
  /** Fraction of its KV capacity that is reserved. */
  double kvUse{};
  /** Requests of all hosts that pass through it. */
  double passing{};
  /** Moving average of the fraction of requests that failed. */
  double failureRate{};
  /** What keeps it out of the chain, or from its beginning; empty for
   * nothing. */
  std::string excluded;
};

} // namespace balsampoint::fleet
