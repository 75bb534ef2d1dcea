#pragma once

/**
 * @brief Calls to plain services: choice of servers, retries within a budget,
 * and temporary ejection of failing servers.
 */
namespace balsampoint::retry {

struct Budget;
struct Module;
struct ServerHealth;
struct Settings;
struct State;

} // namespace balsampoint::retry
