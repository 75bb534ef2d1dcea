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

/** @brief What is known of one server. */
struct Record
{
  Announcement announcement;
  Claim claim;
  /** Not shown since the host that leases is out of reach. */
  bool hidden{ false };
  /** When the lease ends, or the record is hidden or forgotten. */
  Instant expiry{ kNever };
  /** When the server last announced itself to this host. */
  std::optional<Instant> heardAt;
  /** When its load was reported, by this host's clock. */
  Instant reportedAt{};
  Health health;

  /** @brief Whether traffic may use the server. */
  [[nodiscard]] bool Visible() const noexcept { return claim.live && !hidden; }
};

/** @brief Another zone's summary and how long it holds. */
struct KnownSummary
{
  ZoneSummary summary;
  Instant expiry{};
};

/** @brief What waits to be sent to other hosts, and until when. */
struct Outbox
{
  /** Changed records for the zone. */
  std::set<ServerId> deltas;
  Instant deltaAt{ kNever };
  Instant lastDeltaAt{ Instant::min() };
  /** Own records with a new load for the zone. */
  std::set<ServerId> loads;
  Instant loadAt{ kNever };
  Instant lastLoadAt{ Instant::min() };
  /** Renewals for the hosts that lease. */
  std::set<ServerId> renewals;
  Instant renewalAt{ kNever };
  Instant digestAt{};
  Instant summaryAt{};
  Instant lastSummaryAt{ Instant::min() };
};

/** @brief The registry of one host. */
struct State
{
  Settings settings;
  SplitMix64 random;
  std::map<ServerId, Record> records;
  /** Layers of each configured model. */
  std::map<ModelId, std::uint32_t> modelLayers;
  /** Other hosts of the zone in reach. */
  std::set<HostId> nearHosts;
  /** When those hosts were last heard, by whatever way. */
  std::map<HostId, Instant> contacts;
  /** Hosts in reach by other zone. */
  std::map<ZoneId, std::vector<HostId>> farHosts;
  /** Summaries of all zones; of the own one only the number counts. */
  std::map<ZoneId, KnownSummary> summaries;
  /** Sums up the own zone's stages as last told to other zones. */
  std::uint64_t toldStructure{};
  Outbox outbox;
  /** When the next view is due; `kNever` if nothing changed. */
  Instant publishAt{ kNever };
};

} // namespace balsampoint::registry
