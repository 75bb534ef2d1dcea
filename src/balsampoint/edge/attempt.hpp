#pragma once

#include "balsampoint/edge/admission.hpp"
#include "balsampoint/edge/server_choice.hpp"
#include "balsampoint/edge/traffic_state.hpp"
#include "balsampoint/fleet/command/track_work.hpp"

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace balsampoint::edge {

/** @brief The reserved servers of one request's attempt and the connection to
 * the first of them. */
class Attempt
{
public:
  /** @brief Receives the result of a probe and whether another host opened it.
   */
  using ProbeCallback = std::function<void(ProbeResult, bool)>;

  /**
   * @brief Makes an attempt without servers.
   * @param aTraffic State of the traffic thread; outlives the attempt.
   */
  explicit Attempt(TrafficState& aTraffic)
    : mTraffic{ aTraffic }
  {
  }

  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;
  Attempt(Attempt&&) = delete;
  Attempt& operator=(Attempt&&) = delete;

  // Closing throws only if memory is exhausted.
  // NOLINTNEXTLINE(bugprone-exception-escape)
  ~Attempt() { Release(); }

  /**
   * @brief Reserves the servers that were chosen.
   * @param aService Service to call; outlives the attempt.
   * @param aChain The servers.
   * @param aKind Kind of the request; the prompt of a stream counts until its
   * first event.
   */
  void Reserve(const routing::Service& aService,
               fleet::Chain aChain,
               routing::RequestKind aKind);

  /**
   * @brief Opens a connection to the first server.
   * @param aObserver Observer of its events.
   */
  void Connect(const ServerObserver& aObserver);

  /**
   * @brief Counts and sends the request.
   * @param aRequest The request.
   */
  void Send(EncodedRequest aRequest);

  /**
   * @brief Drops the connection that broke and opens another one to its server.
   * @param aCallback Called once, later, with the result.
   */
  void Probe(ProbeCallback aCallback);

  /** @brief Whether another incarnation than the one that the request was sent
   * to is announced at the first server's address. */
  [[nodiscard]] bool HasRestarted() const;

  /**
   * @brief Records the outcome for the choice of servers.
   * @param aOutcome The outcome.
   * @param aAddress Address of the server; empty for the first one.
   */
  void RecordOutcome(fleet::RequestOutcome aOutcome,
                     std::string_view aAddress = {}) const;

  /**
   * @brief Records that events of the stream have arrived.
   * @param aSinceLast Time since the caller last received events.
   * @param aNow Current time.
   */
  void RecordEvents(Duration aSinceLast, Instant aNow);

  /** @brief Closes the connection and releases the servers. */
  void Release();

  /** @brief Whether there is a connection. */
  [[nodiscard]] bool HasConnection() const { return mServer != nullptr; }

  /** @brief Whether there is a connection and this host opened it. */
  [[nodiscard]] bool IsDirect() const
  {
    return mServer != nullptr && !mServer->HasDetour();
  }

  /** @brief The connection; there must be one. */
  [[nodiscard]] ServerConnection& Connection() const { return *mServer; }

  /** @brief The reserved servers; empty for none. */
  [[nodiscard]] const std::vector<fleet::Hop>& Hops() const { return mHops; }

private:
  TrafficState& mTraffic;
  const routing::Service* mService{};
  std::vector<fleet::Hop> mHops;
  fleet::Reservation mReserved;
  std::shared_ptr<ServerConnection> mServer;
  /** Whether the servers have sent an event. */
  bool mStreaming{ false };
};

} // namespace balsampoint::edge
