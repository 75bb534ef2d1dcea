#pragma once

/**
 * @brief Decides on the life of one request, from its arrival to the end of its
 * response, over all attempts at servers.
 */
namespace balsampoint::exchange {

struct AttemptState;
struct State;

} // namespace balsampoint::exchange
