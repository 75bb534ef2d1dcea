#pragma once

/**
 * @brief Decides whether this host reaches the backend servers by itself, and
 * through which other host it reaches them otherwise.
 */
namespace balsampoint::reach {

struct ConnectionEvidence;
struct Detour;
struct Settings;
struct State;

} // namespace balsampoint::reach
