#pragma once

#include "balsampoint/core/time.hpp"

#include <string_view>

namespace balsampoint::reach {

/** @brief What a connection of this host to a server, with a request in
 * progress, shows of the link. */
struct ConnectionEvidence
{
  /** Address of the server. */
  std::string_view server;
  /** When the request was sent. */
  Instant sentAt{ Instant::min() };
  /** When bytes of the server were last read. */
  Instant readAt{ Instant::min() };
  /** Whether sent bytes are unacknowledged; false where the kernel doesn't
   * tell. */
  bool unacknowledged{ false };
  /** Time since the server's last acknowledgement. */
  Duration sinceAck{};
};

} // namespace balsampoint::reach
