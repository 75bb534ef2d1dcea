#pragma once

/**
 * @brief Event loops, timers and sockets, shared by the modules that talk to
 * other processes.
 */
namespace balsampoint::net {

class Loop;
class Timer;

} // namespace balsampoint::net
