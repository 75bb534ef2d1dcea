#pragma once

/**
 * @brief A traffic thread's model of the backend servers: their capacity,
 * the work in progress on them, and the choice of servers for a request.
 */
namespace balsampoint::fleet {

struct Chain;
struct Server;
struct State;

} // namespace balsampoint::fleet
