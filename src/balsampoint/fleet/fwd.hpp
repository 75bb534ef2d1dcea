#pragma once

/**
 * @brief The backend servers as one traffic thread sees them: what they can
 * do, what of its own work they have, and which to use next.
 */
namespace balsampoint::fleet {

struct Chain;
struct Server;
struct State;

} // namespace balsampoint::fleet
