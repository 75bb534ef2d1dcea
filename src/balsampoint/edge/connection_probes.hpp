#pragma once

#include "balsampoint/edge/server_connections.hpp"
#include "balsampoint/net/loop.hpp"
#include "balsampoint/reach/proof.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace balsampoint::edge {

/** @brief What opening a connection to a server shows. */
enum class ProbeResult : std::uint8_t
{
  /** The server keeps it open. */
  Accepts,
  /** It isn't established, or what stands before the server closes it. */
  Refuses,
  /** It stands, and what was sent on it isn't acknowledged. */
  Silent,
  /** The host that was to open it is at fault. */
  Unknown,
};

/**
 * @brief Tells servers that have crashed from those that only reset a
 * connection: a crashed one accepts no other, or what stands before it closes
 * it at once.
 */
class ConnectionProbes
{
public:
  /** @brief Receives what the connection shows. */
  using Callback = std::function<void(ProbeResult)>;

  /**
   * @brief Makes the probes of one traffic thread.
   * @param aContext I/O context of the loop.
   */
  explicit ConnectionProbes(boost::asio::io_context& aContext);

  /**
   * @brief Opens a connection to a server and closes it; requests that ask for
   * the same server in the same way at the same time share one.
   * @param aAddress IP address and port of the server.
   * @param aDetour Host that opens the connection; absent for this one.
   * @param aCallback Called once, later, with the result.
   * @param aProof What the connection has to show.
   */
  void Probe(const std::string& aAddress,
             std::optional<DetourPath> aDetour,
             Callback aCallback,
             reach::Proof aProof = reach::Proof::Open);

private:
  /** Address of the server, whether the probe goes through a detour, and what
   * it has to show. */
  using Key = std::tuple<std::string, bool, reach::Proof>;

  struct Pending
  {
    std::shared_ptr<ServerConnection> connection;
    std::unique_ptr<net::Timer> timer;
    std::vector<Callback> callbacks;
    /** Whether bytes were sent that are to be acknowledged, and when last. */
    bool sent{ false };
    Instant sentAt{ Instant::min() };
    /** Bytes that are still to be sent. */
    std::string_view unsent;
  };

  void OnSignal(const Key& aKey, ServerSignal aSignal);
  void OnOpen(const Key& aKey);
  void SendPart(const Key& aKey);
  void AwaitAcknowledgement(const Key& aKey);
  void OnResult(const Key& aKey, ProbeResult aResult);

  boost::asio::io_context& mContext;
  ServerConnections mConnections;
  std::map<Key, Pending> mPending;
};

} // namespace balsampoint::edge
