#pragma once

#include "balsampoint/fleet/state.hpp"

#include <optional>
#include <span>
#include <string_view>

namespace balsampoint::fleet {

/** @brief What is learned of a server from a request. */
enum class Finding : std::uint8_t
{
  Answered,
  /** It answered that it failed. */
  Failed,
  /** It said that it has no room or gives up its part. */
  Full,
  /** It broke off. */
  Broken,
  /** It can't be reached. */
  Unreachable,
};

/**
 * @brief Counts a request on the servers that it passes through.
 * @param aState State to change.
 * @param aService The service.
 * @param aHops The servers; the first one receives the request.
 * @param aTokens Tokens of the request.
 */
void
Reserve(State& aState,
        const ServiceId& aService,
        std::span<const Hop> aHops,
        double aTokens);

/**
 * @brief Takes a request off the servers that it passed through.
 * @param aState State to change.
 * @param aService The service.
 * @param aHops The servers, as reserved.
 * @param aTokens Tokens of the request, as reserved.
 */
void
Release(State& aState,
        const ServiceId& aService,
        std::span<const Hop> aHops,
        double aTokens);

/**
 * @brief Notes that an event of a stream has passed through servers.
 * @param aState State to change.
 * @param aService The service.
 * @param aHops The servers.
 * @param aInterval Time since the event before; absent for the first.
 * @param aNow The time.
 */
void
NoteEvent(State& aState,
          const ServiceId& aService,
          std::span<const Hop> aHops,
          std::optional<Duration> aInterval,
          Instant aNow);

/**
 * @brief Notes that a stream writes, or writes no longer.
 * @param aState State to change.
 * @param aService The service.
 * @param aHops The servers that it passes through.
 * @param aWrites Whether it begins to write.
 */
void
CountStream(State& aState,
            const ServiceId& aService,
            std::span<const Hop> aHops,
            bool aWrites);

/**
 * @brief Notes how a server did, so that the next choice knows.
 * @param aState State to change.
 * @param aService The service.
 * @param aAddress Address of the server.
 * @param aFinding What was learned.
 * @param aNow The time.
 */
void
Note(State& aState,
     const ServiceId& aService,
     std::string_view aAddress,
     Finding aFinding,
     Instant aNow);

} // namespace balsampoint::fleet
