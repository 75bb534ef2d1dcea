#pragma once

/**
 * @brief Placement of model layers on engines: decides the layer range of
 * each engine and orders the engine to load it.
 */
namespace balsampoint::placement {

struct Module;
struct State;

} // namespace balsampoint::placement
