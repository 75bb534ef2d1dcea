#pragma once

#include "balsampoint/fleet/state.hpp"

#include <optional>
#include <span>
#include <string_view>

namespace balsampoint::fleet {

/**
 * @brief Outcome of a request to a server, as far as it concerns the server.
 */
enum class RequestOutcome : std::uint8_t
{
  Answered,
  /** The server answered with an error. */
  Failed,
  /** The server refused the request for lack of capacity, or gave up its part
   * of it. */
  Full,
  /** The connection broke before the answer was complete. */
  Broken,
  /** No connection could be made. */
  Unreachable,
};

/**
 * @brief Adds a request to the work of the servers that it passes through.
 * @param aState State to change.
 * @param aService Service that the server belongs to.
 * @param aHops Servers of the chain; the first one receives the request.
 * @param aReservation Tokens that count on each server.
 */
void
Reserve(State& aState,
        const ServiceId& aService,
        std::span<const Hop> aHops,
        const Reservation& aReservation);

/**
 * @brief Counts the tokens that a request will pass from one zone to another.
 * @param aState State to change.
 * @param aService Service that the servers belong to.
 * @param aHops Servers of the chain.
 * @param aReservation Tokens of the request.
 * @param aNow Current time.
 */
void
CountZoneTokens(State& aState,
                const ServiceId& aService,
                std::span<const Hop> aHops,
                const Reservation& aReservation,
                Instant aNow);

/**
 * @brief Removes a request from the work of the servers that it passed
 * through.
 * @param aState State to change.
 * @param aService Service that the server belongs to.
 * @param aHops Hops as given to `Reserve`.
 * @param aReservation Reservation as left by `Reserve` and `RecordEvent`.
 */
void
Release(State& aState,
        const ServiceId& aService,
        std::span<const Hop> aHops,
        const Reservation& aReservation);

/**
 * @brief Records an event of a stream on the servers that it passed through.
 * @param aState State to change.
 * @param aService Service that the server belongs to.
 * @param aHops Servers of the chain.
 * @param aReservation Reservation of the request; the first event ends the
 * part for its prompt.
 * @param aInterval Time since the previous event of the stream; absent for
 * the first.
 * @param aNow Current time.
 */
void
RecordEvent(State& aState,
            const ServiceId& aService,
            std::span<const Hop> aHops,
            Reservation& aReservation,
            std::optional<Duration> aInterval,
            Instant aNow);

/**
 * @brief Counts a stream on its servers when its output begins, and removes
 * it when its output ends.
 * @param aState State to change.
 * @param aService Service that the server belongs to.
 * @param aHops Servers of the chain.
 * @param aBegins Whether the output begins; false if it ends.
 */
void
CountStream(State& aState,
            const ServiceId& aService,
            std::span<const Hop> aHops,
            bool aBegins);

/**
 * @brief Records the outcome of a request on a server, for later choices of
 * servers.
 * @param aState State to change.
 * @param aService Service that the server belongs to.
 * @param aAddress Address of the server, with port.
 * @param aOutcome Outcome of the request.
 * @param aNow Current time.
 */
void
RecordOutcome(State& aState,
              const ServiceId& aService,
              std::string_view aAddress,
              RequestOutcome aOutcome,
              Instant aNow);

/**
 * @brief Counts a choice of servers, as demand for the service.
 * @param aState State to change.
 * @param aService The service.
 * @param aNow Current time.
 */
void
CountChoice(State& aState, const ServiceId& aService, Instant aNow);

/**
 * @brief Counts a request that is sent to a server.
 * @param aState State to change.
 * @param aService Service that the server belongs to.
 * @param aHop The server.
 * @param aNow Current time.
 */
void
CountSend(State& aState,
          const ServiceId& aService,
          const Hop& aHop,
          Instant aNow);

} // namespace balsampoint::fleet
