#pragma once

/**
 * @brief HTTP connections of callers and backend servers on one traffic
 * thread, which blocks until one of them is ready.
 */
namespace balsampoint::edge {

class Loop;

} // namespace balsampoint::edge
