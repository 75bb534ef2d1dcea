#pragma once

#include "balsampoint/edge/detour_connection.hpp"
#include "balsampoint/edge/traffic_state.hpp"

#include <cstddef>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace balsampoint::edge {

/**
 * @brief Opens connections to servers for hosts that have lost their links to
 * them, and passes the bytes on. Requests and answers are those hosts' own
 * affair: nothing is decided, repeated or counted here.
 */
class DetourPort
{
public:
  /**
   * @brief Makes a port that does not listen yet.
   * @param aTraffic State of the traffic thread; outlives the port.
   * @param aSecret Secret of the cluster.
   * @param aMaxConnections Most connections at a time.
   * @param aMemory Account of the bytes that connections hold; null for none.
   */
  DetourPort(TrafficState& aTraffic,
             std::string aSecret,
             std::size_t aMaxConnections,
             MemoryAccount* aMemory = nullptr);

  /**
   * @brief Binds the address and starts to accept connections.
   * @param aAddress IP address and port.
   * @return Nothing, `ErrorKind::BadRequest` if the address can't be parsed, or
   * `ErrorKind::Internal` if it can't be bound.
   */
  tl::expected<void, Error> Listen(const std::string& aAddress);

  /** @brief Refuses further connections, and closes those on which the last
   * bytes came from the server and none have come for a while. */
  void Drain();

  /** @brief Whether the host would open a connection now. */
  [[nodiscard]] bool IsAvailable() const;

  /** @brief Number of connections. */
  [[nodiscard]] std::size_t ConnectionCount() const noexcept
  {
    return mConnections.size();
  }

  /**
   * @brief Decides about a request for a connection before it is opened.
   * @param aRequest The request.
   * @return `DetourStatus::Open`, or why not.
   */
  [[nodiscard]] DetourStatus Admit(const DetourRequest& aRequest) const;

  /**
   * @brief Tells whether a failed connection is the server's fault.
   * @param aCallback Called once, later, with the answer to the other host.
   */
  void AskWhyFailed(std::function<void(DetourStatus)> aCallback);

  /** @brief Account of the bytes that connections hold; null for none. */
  [[nodiscard]] MemoryAccount* Memory() const noexcept { return mMemory; }

  /** @brief Removes a connection that has ended. */
  void OnClosed(const std::shared_ptr<DetourConnection>& aConnection);

private:
  void Accept();
  [[nodiscard]] bool IsAnnounced(std::string_view aServer) const;

  TrafficState& mTraffic;
  std::string mSecret;
  std::size_t mMaxConnections;
  MemoryAccount* mMemory;
  net::Tcp::acceptor mAcceptor;
  net::Timer mAcceptRetryTimer;
  std::set<std::shared_ptr<DetourConnection>> mConnections;
};

} // namespace balsampoint::edge
