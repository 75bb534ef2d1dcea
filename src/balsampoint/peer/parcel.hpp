#pragma once

#include "balsampoint/core/concepts.hpp"
#include "balsampoint/core/id.hpp"
#include "balsampoint/core/number.hpp"

#include <cstdint>
#include <string>

namespace balsampoint::peer {

/** @brief The decision module that a message is for; numbers never change. */
enum class ModuleTag : std::uint8_t
{
  Registry = 1,
  Member = 2,
  Consensus = 3,
  Fanout = 4,
  Ledger = 5,
  Limit = 6,
  Orders = 7,
  Change = 8,
  Roster = 9,
  Usage = 10,
};

/** @brief A received message whose sender is authenticated. */
struct Parcel
{
  HostId from;
  Incarnation incarnation;
  ModuleTag module{};
  ByteVector body;
};

/** @brief Who this host is towards its peers. */
struct Identity
{
  ClusterId cluster;
  HostId host;
  Incarnation incarnation;
  /** Secret that all hosts of the cluster share. */
  std::string secret;
};

} // namespace balsampoint::peer
