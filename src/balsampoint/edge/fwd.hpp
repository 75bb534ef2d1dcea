#pragma once

/**
 * @brief HTTP connections of callers and backend servers, all on one traffic
 * thread, which blocks until a socket or timer is ready.
 */
namespace balsampoint::edge {

} // namespace balsampoint::edge
