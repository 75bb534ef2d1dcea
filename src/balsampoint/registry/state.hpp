#pragma once

#include "balsampoint/core/split_mix.hpp"
#include "balsampoint/registry/health.hpp"
#include "balsampoint/registry/message.hpp"
#include "balsampoint/registry/settings.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace balsampoint::registry {

/** @brief Record of one server. */
struct Record
{
  Announcement announcement;
  Claim claim;
  /** Not visible because the host that leases the server is unreachable. */
  bool hidden{ false };
  /** When the lease ends or, for other records, when the record is hidden or
   * erased. */
  Instant expiry{ kNever };
  /** When the server last announced itself to this host. */
  std::optional<Instant> lastAnnouncedAt;
  /** When its load was received, by this host's clock. */
  Instant reportedAt{};
  Health health;

  /** @brief Whether traffic may use the server. */
  [[nodiscard]] bool Visible() const noexcept { return claim.live && !hidden; }
};

/** @brief A zone's summary and when it expires. */
struct KnownSummary
{
  ZoneSummary summary;
  Instant expiry{};
};

/**
 * @brief Messages queued for other hosts, with the times at which they are
 * due.
 */
struct Outbox
{
  /** Changed records for the hosts of the zone. */
  std::set<ServerId> deltas;
  Instant deltaAt{ kNever };
  Instant lastDeltaAt{ Instant::min() };
  /** Servers leased by this host with a new load, for the hosts of the zone. */
  std::set<ServerId> loads;
  Instant loadAt{ kNever };
  Instant lastLoadAt{ Instant::min() };
  /** Renewals for the hosts that hold the leases. */
  std::set<ServerId> renewals;
  Instant renewalAt{ kNever };
  Instant digestAt{};
  Instant summaryAt{};
  Instant lastSummaryAt{ Instant::min() };
};

/** @brief Registry of one host; owned by the control thread. */
struct State
{
  Settings settings;
  SplitMix64 random;
  std::map<ServerId, Record> records;
  /** Number of layers of each configured model. */
  std::map<ModelId, std::uint32_t> modelLayers;
  /** Other reachable hosts of the zone. */
  std::set<HostId> zoneHosts;
  /** Last direct or indirect contact with each of these hosts. */
  std::map<HostId, Instant> contacts;
  /** Reachable hosts of other zones, by zone. */
  std::map<ZoneId, std::vector<HostId>> remoteHosts;
  /** Summaries by zone; for the own zone only the number is used. */
  std::map<ZoneId, KnownSummary> summaries;
  /** Hash of the own zone's stages and services as last sent to other zones. */
  std::uint64_t sentStructure{};
  Outbox outbox;
  /** When the next view is due; `kNever` if nothing has changed. */
  Instant publishAt{ kNever };
};

} // namespace balsampoint::registry
