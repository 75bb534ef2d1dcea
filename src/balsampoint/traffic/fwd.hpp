#pragma once

/**
 * @brief Drives the decisions of one request on a traffic thread.
 *
 * Knows no encoding: engines, services and callers come in as concepts.
 */
namespace balsampoint::traffic {

class ActivityCount;

struct Configuration;
struct World;

} // namespace balsampoint::traffic
