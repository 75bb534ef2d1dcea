#pragma once

#include "balsampoint/core/time.hpp"
#include "balsampoint/member/host.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace balsampoint::member {

/** @brief A host through which this host joins the cluster. */
struct Seed
{
  /** Empty if only the address is known. */
  HostId id;
  std::string address;
};

/** @brief Configuration of the module on one host. */
struct Settings
{
  Host self;
  std::vector<Seed> seeds;
  Duration probeInterval{ std::chrono::milliseconds{ 700 } };
  /** Time to wait for an answer before other hosts are asked to probe. */
  Duration directTimeout{ std::chrono::milliseconds{ 200 } };
  /** Time to wait for an answer through other hosts. */
  Duration indirectTimeout{ std::chrono::milliseconds{ 300 } };
  /** Time after which a suspect host of the own zone is marked dead. */
  Duration suspicion{ std::chrono::seconds{ 1 } };
  /** Time after which a suspect host of another zone is marked dead. */
  Duration remoteSuspicion{ std::chrono::seconds{ 5 } };
  /** Minimum time between two broadcasts to the own zone. */
  Duration broadcastInterval{ std::chrono::milliseconds{ 250 } };
  /** Time between two attempts to join while no other host is known; later,
   * missing seeds are tried at five times this interval. */
  Duration joinInterval{ std::chrono::seconds{ 1 } };
  /** Time between two digest comparisons with a random host. */
  Duration digestInterval{ std::chrono::seconds{ 10 } };
  /** Time after which a dead or stopped host is forgotten; until then dead
   * hosts are still pinged. */
  Duration deadRetention{ std::chrono::hours{ 1 } };
  /** One in this many probes goes to another zone. */
  std::uint32_t remoteEvery{ 5 };
  /** Number of hosts asked for an indirect probe. */
  std::size_t indirectProbes{ 3 };
  /** Maximum number of updates piggybacked on one message. */
  std::size_t updatesPerMessage{ 6 };
};

} // namespace balsampoint::member
