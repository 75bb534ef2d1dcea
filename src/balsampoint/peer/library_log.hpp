#pragma once

namespace balsampoint::peer {

/** @brief Makes the transport library write its messages to the log. */
void
RouteLibraryLog();

} // namespace balsampoint::peer
