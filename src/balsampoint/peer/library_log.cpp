#include "balsampoint/peer/library_log.hpp"

#include <spdlog/spdlog.h>
#include <thrift/TOutput.h>

namespace balsampoint::peer {

void
RouteLibraryLog()
{
  // The sender itself logs once per lost and regained peer.
  apache::thrift::GlobalOutput.setOutputFunction(
    [](const char* aText) { spdlog::debug("peer transport: {}", aText); });
}

} // namespace balsampoint::peer
