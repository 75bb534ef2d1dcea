#pragma once

#include "balsampoint/core/split_mix.hpp"

namespace balsampoint::fake {

/** @brief A repeatable source of random numbers. */
using Random = SplitMix64;

} // namespace balsampoint::fake
