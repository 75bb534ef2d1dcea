#pragma once

#include "balsampoint/roster/state.hpp"

namespace balsampoint::roster {

/**
 * @brief Reports the other control hosts that have a disk and can be reached,
 * if they have changed.
 *
 * Each control host knows them at any time, so that one that becomes the leader
 * can replace a lost voter at once.
 * @param aState State of a control host; nothing is reported on others.
 * @param aNow The current time.
 * @param aActions The report is appended here.
 */
void
ReportControlHosts(State& aState, Instant aNow, Actions& aActions);

} // namespace balsampoint::roster
