#pragma once

/**
 * @brief Exchange of the work that entry hosts have in progress on each
 * server; one control host collects and sums their reports.
 */
namespace balsampoint::usage {

struct Module;
struct State;

} // namespace balsampoint::usage
