#pragma once

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace balsampoint::peer::internal {

/**
 * @brief Lets the kernel close a connection whose peer has fallen silent.
 * @param aSocket Descriptor of the connection.
 * @param aSilenceMs Time without an acknowledgement, in milliseconds.
 */
inline void
CloseWhenSilent(int aSocket, int aSilenceMs)
{
  constexpr int kOn = 1;
  constexpr int kProbeSeconds = 1;
  constexpr int kProbes = 2;
  setsockopt(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, &aSilenceMs, sizeof(int));
  setsockopt(aSocket, SOL_SOCKET, SO_KEEPALIVE, &kOn, sizeof(int));
  setsockopt(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, &kProbeSeconds, sizeof(int));
  setsockopt(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, &kProbeSeconds, sizeof(int));
  setsockopt(aSocket, IPPROTO_TCP, TCP_KEEPCNT, &kProbes, sizeof(int));
}

} // namespace balsampoint::peer::internal
