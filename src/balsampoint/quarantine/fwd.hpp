#pragma once

/**
 * @brief Finds requests and prompt parts under which servers crash, from the
 * evidence of all entry hosts, and refuses them.
 */
namespace balsampoint::quarantine {

struct SuspectReport;
struct State;

} // namespace balsampoint::quarantine
