#pragma once

/**
 * @brief Drives the decisions of one request on a traffic thread.
 *
 * Knows no encoding: engines, services and callers come in as concepts.
 */
namespace balsampoint::traffic {

class ActivityCount;
class ChangeSignal;
class RoutePlanner;
class SharedRouter;
class TableRoute;

struct Configuration;
struct World;

} // namespace balsampoint::traffic
