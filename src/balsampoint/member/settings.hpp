#pragma once

#include "balsampoint/core/time.hpp"
#include "balsampoint/member/host.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace balsampoint::member {

/** @brief A host to join by. */
struct Seed
{
  /** Empty when only the address is known. */
  HostId id;
  std::string address;
};

/** @brief What one host's membership is set up with. */
struct Settings
{
  Host self;
  std::vector<Seed> seeds;
  Duration probeInterval{ std::chrono::milliseconds{ 700 } };
  /** Wait for an answer before other hosts are asked to probe. */
  Duration directTimeout{ std::chrono::milliseconds{ 200 } };
  /** Wait for an answer by way of other hosts. */
  Duration indirectTimeout{ std::chrono::milliseconds{ 300 } };
  /** Time to refute a suspicion within the own zone. */
  Duration suspicion{ std::chrono::seconds{ 1 } };
  /** Time to refute a suspicion for hosts of other zones. */
  Duration remoteSuspicion{ std::chrono::seconds{ 5 } };
  /** Shortest time between two broadcasts to the own zone. */
  Duration newsInterval{ std::chrono::milliseconds{ 250 } };
  Duration joinInterval{ std::chrono::seconds{ 1 } };
  /** Time between two comparisons of the whole list with another host. */
  Duration digestInterval{ std::chrono::seconds{ 10 } };
  /** How long a dead host is kept and tried again. */
  Duration memory{ std::chrono::hours{ 1 } };
  /** Every so many probes one goes to another zone. */
  std::uint32_t remoteEvery{ 5 };
  /** Hosts asked for an indirect probe. */
  std::size_t indirectProbes{ 3 };
  /** Updates that ride along with one message at most. */
  std::size_t updatesPerMessage{ 6 };
};

} // namespace balsampoint::member
