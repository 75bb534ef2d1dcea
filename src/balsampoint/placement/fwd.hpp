#pragma once

/** @brief Which layers each model engine is to hold, and orders that say so. */
namespace balsampoint::placement {

struct Module;
struct State;

} // namespace balsampoint::placement
