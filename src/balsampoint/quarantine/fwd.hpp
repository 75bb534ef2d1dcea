#pragma once

/**
 * @brief Finds prompt parts under which servers crash, from the evidence of all
 * entry hosts, and refuses requests that have them.
 */
namespace balsampoint::quarantine {

struct PartReport;
struct State;

} // namespace balsampoint::quarantine
