#pragma once

#include "balsampoint/core/time.hpp"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace balsampoint::cli {

/** @brief How results are printed. */
enum class Output : std::uint8_t
{
  Table,
  Json,
};

/** @brief The flags of one call. */
struct Options
{
  /** Operators' addresses of hosts, in the order of trying. */
  std::vector<std::string> hosts;
  /** The operator's key. */
  std::string key;
  Output output{ Output::Table };
  /** Number of the change to apply; zero for none given. */
  std::uint64_t number{};
  /** Id of the change; empty takes one made from its number and content. */
  std::string changeId;
  /** Whether to wait until the change is in force everywhere. */
  bool wait{ false };
  /** Parameters of a query about one request; empty ones aren't sent. */
  std::vector<std::pair<std::string, std::string>> query;
  /** Limit on waiting. */
  Duration timeout{};
};

} // namespace balsampoint::cli
