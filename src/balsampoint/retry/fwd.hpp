#pragma once

/**
 * @brief Attempts of calls to plain services: which server, whether again, and
 * which servers to leave out for a while.
 */
namespace balsampoint::retry {

struct Budget;
struct Module;
struct ServerHealth;
struct Settings;
struct State;

} // namespace balsampoint::retry
