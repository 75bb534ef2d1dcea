#pragma once

#include <functional>
#include <memory>
#include <string>

namespace balsampoint::edge {

/** @brief Host that opens a connection to a server for this one. */
struct DetourPath
{
  /** IP address and port on which it accepts such connections. */
  std::string address;
  /** Shows it that the connection is for a host of its cluster. */
  std::string token;
  /** Called if it can't open the connection for a reason of its own. */
  std::function<void()> onFailure;
  /** Ends with the connection. */
  std::shared_ptr<void> lease;
};

} // namespace balsampoint::edge
