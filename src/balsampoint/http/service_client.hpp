#pragma once

#include "balsampoint/http/client_pool.hpp"
#include "balsampoint/traffic/service_call.hpp"

#include <span>
#include <string>

namespace balsampoint::http {

/** @brief Sends one call of a plain service over HTTP, each time anew. */
class ServiceClient
{
public:
  /**
   * @brief Keeps the call.
   * @param aPool Makes the connections; outlives the client.
   * @param aRequest The call.
   */
  ServiceClient(ClientPool& aPool, ClientRequest aRequest);

  /**
   * @brief Sends the call and waits for its end.
   * @param aAddress IP number and port of the server.
   * @param aDeadline When the wait ends.
   * @return What the attempt brought.
   */
  [[nodiscard]] traffic::ServiceReply Call(const std::string& aAddress,
                                           Instant aDeadline);

private:
  ClientPool& mPool;
  ClientRequest mRequest;
};

/**
 * @brief Whether a header is meant for the far end of a call.
 * @param aName The header's name.
 * @return False for what concerns one connection or the caller's key.
 */
[[nodiscard]] bool
IsEndToEnd(std::string_view aName);

} // namespace balsampoint::http
