#pragma once

#include "balsampoint/registry/announcement.hpp"
#include "balsampoint/registry/stamp.hpp"
#include "balsampoint/registry/summary.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace balsampoint::registry {

/** @brief A host's record of one server. */
struct Entry
{
  /** Once the server is lost, only the id and the incarnation are used. */
  Announcement announcement;
  Claim claim;

  bool operator==(const Entry&) const = default;
};

/** @brief Changed records. */
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

/**
 * @brief Renewals that servers sent to the sender and that concern leases of
 * the receiver.
 */
struct Renewals
{
  std::vector<LoadReport> reports;
};

/**
 * @brief Compares two registries; answered with `Versions` if their hashes
 * differ.
 */
struct Digest
{
  std::uint64_t hash{};
  /** Hosts with which contact of the sender is overdue; answered with
   * `Contacts`. */
  std::vector<HostId> overdueHosts;
};

/** @brief Time since the last contact of the sender with a host. */
struct Contact
{
  HostId host;
  Duration age{};
};

/**
 * @brief Contacts of the sender with the hosts that a digest lists as
 * overdue.
 */
struct Contacts
{
  std::vector<Contact> contacts;
};

/** @brief Claim of the sender on one server. */
struct Version
{
  ServerId server;
  Claim claim;
};

/**
 * @brief All claims of the sender; answered with `Delta` for newer and
 * `Request` for older claims of the receiver.
 */
struct Versions
{
  std::vector<Version> versions;
};

/** @brief Asks for entries; answered with `Delta`. */
struct Request
{
  std::vector<ServerId> servers;
};

/** @brief Summary of a zone. */
struct Summary
{
  ZoneSummary summary;
  /** Whether the receiver must forward it to the hosts of its own zone. */
  bool relay{ false };
};

/** @brief Messages that hosts exchange about servers. */
using Message = std::
  variant<Delta, Loads, Renewals, Digest, Versions, Request, Summary, Contacts>;

} // namespace balsampoint::registry
