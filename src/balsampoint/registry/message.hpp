#pragma once

#include "balsampoint/registry/announcement.hpp"
#include "balsampoint/registry/stamp.hpp"
#include "balsampoint/registry/summary.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace balsampoint::registry {

/** @brief What one host holds of one server. */
struct Entry
{
  /** Only the id and the incarnation count once the server is lost. */
  Announcement announcement;
  Claim claim;

  bool operator==(const Entry&) const = default;
};

/** @brief Changes that the receiver may not know. */
struct Delta
{
  std::vector<Entry> entries;
};

/** @brief The load of one server. */
struct LoadReport
{
  ServerId server;
  Incarnation incarnation;
  Load load;
};

/** @brief Loads of servers that the sender leases. */
struct Loads
{
  std::vector<LoadReport> reports;
};

/** @brief Renewals that reached the sender while the receiver leases. */
struct Renewals
{
  std::vector<LoadReport> reports;
};

/** @brief Compares two registries; answered with `Versions` if unlike. */
struct Digest
{
  std::uint64_t hash{};
  /** Hosts that the sender has not heard for long; answered by `Contacts`. */
  std::vector<HostId> doubted;
};

/** @brief How long ago the sender had news of a host. */
struct Contact
{
  HostId host;
  Duration age{};
};

/** @brief Answers a digest's doubts. */
struct Contacts
{
  std::vector<Contact> contacts;
};

/** @brief Which claim the sender holds for one server. */
struct Version
{
  ServerId server;
  Claim claim;
};

/** @brief All the sender's claims; answered with `Delta` and `Request`. */
struct Versions
{
  std::vector<Version> versions;
};

/** @brief Asks for entries; answered with `Delta`. */
struct Request
{
  std::vector<ServerId> servers;
};

/** @brief A zone's summary on its way to the hosts of another zone. */
struct Summary
{
  ZoneSummary summary;
  /** Whether the receiver passes it on within its zone. */
  bool relay{ false };
};

/** @brief What hosts tell each other about servers. */
using Message = std::
  variant<Delta, Loads, Renewals, Digest, Versions, Request, Summary, Contacts>;

} // namespace balsampoint::registry
