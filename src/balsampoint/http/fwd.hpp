#pragma once

/** @brief HTTP towards callers, backend servers and operators. */
namespace balsampoint::http {

class ClientPool;

struct CallFailure;
struct ClientRequest;
struct ClientResponse;
struct ListenerLimits;

} // namespace balsampoint::http
