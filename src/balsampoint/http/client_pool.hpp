#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/core/time.hpp"

#include <Poco/Net/StreamSocket.h>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

namespace balsampoint::http {

/** @brief One header field. */
struct Header
{
  std::string name;
  std::string value;
};

/** @brief A request to a backend server or daemon. */
struct ClientRequest
{
  std::string method;
  std::string path;
  std::vector<Header> headers;
  std::string body;
  std::string contentType{ "application/json" };
  /** Largest answer that is taken, in bytes. */
  std::uint64_t maxResponseBytes{ 16ULL * 1024 * 1024 };
  /** Whether a connection of an earlier call may be used. */
  bool reuseConnection{ true };
};

/** @brief A whole answer. */
struct ClientResponse
{
  std::uint16_t status{};
  std::vector<Header> headers;
  std::string body;
};

/** @brief Why a call brought no answer. */
struct CallFailure
{
  Error error;
  /** False only when no byte of the request can have left this host. */
  bool maybeSent{ true };
  /** Whether the wait ended by the deadline and not by the connection. */
  bool timedOut{ false };
};

/**
 * @brief Makes HTTP calls with deadlines over connections that it keeps.
 *
 * A request is written at most once: a failed call is never repeated here.
 */
class ClientPool
{
public:
  ClientPool() = default;
  ClientPool(const ClientPool&) = delete;
  ClientPool& operator=(const ClientPool&) = delete;
  ClientPool(ClientPool&&) = delete;
  ClientPool& operator=(ClientPool&&) = delete;
  ~ClientPool() = default;

  /**
   * @brief Makes one call and waits for the whole answer.
   * @param aAddress IP number and port.
   * @param aRequest The request.
   * @param aTimeout Limit on the whole call.
   * @return The answer with any status, or why there is none.
   */
  [[nodiscard]] tl::expected<ClientResponse, CallFailure> Call(
    const std::string& aAddress,
    const ClientRequest& aRequest,
    Duration aTimeout);

private:
  using Socket = Poco::Net::StreamSocket;

  struct Idle
  {
    Socket socket;
    Instant since{};
  };

  std::optional<Socket> TakeIdle(const std::string& aAddress);
  void Keep(const std::string& aAddress, const Socket& aSocket);
  static tl::expected<Socket, CallFailure> Connect(const std::string& aAddress,
                                                   Duration aTimeout);

  std::mutex mMutex;
  std::map<std::string, std::vector<Idle>> mIdle;
};

} // namespace balsampoint::http
