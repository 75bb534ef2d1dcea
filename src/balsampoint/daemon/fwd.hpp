#pragma once

/** @brief Puts the modules of one host together. */
namespace balsampoint::daemon {

class Node;
class Runners;

} // namespace balsampoint::daemon
