#pragma once

#include "balsampoint/core/split_mix.hpp"
#include "balsampoint/member/settings.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace balsampoint::member {

/** @brief Entry for another host. */
struct Peer
{
  Host host;
  /** Time of the last change of state. */
  Instant changedAt{};
  /** Number of further messages that piggyback this entry. */
  std::uint32_t remaining{};
};

/** @brief The probe in progress; none if `target` is empty. */
struct Probe
{
  HostId target;
  std::uint64_t sequence{};
  Instant deadline{ kNever };
  /** Whether other hosts have been asked to probe. */
  bool indirect{ false };
};

/** @brief State of the module on one host. */
struct State
{
  Settings settings;
  SplitMix64 random;
  Host self;
  /** Number of further messages that piggyback this host's own entry. */
  std::uint32_t selfRemaining{};
  std::map<HostId, Peer> peers;
  Probe probe;
  /** Hosts of the own zone not yet probed in this round. */
  std::vector<HostId> probeQueue;
  std::uint64_t sequence{};
  Instant probeAt{};
  Instant joinAt{};
  Instant digestAt{};
  /** Time of the next broadcast to the own zone; `kNever` if none. */
  Instant broadcastAt{ kNever };
  Instant lastBroadcastAt{};
  /** Hosts whose entries the next broadcast carries. */
  std::set<HostId> pendingBroadcast;
  /** Whether the view has changed since it was last published. */
  bool changed{ true };
};

/**
 * @brief Creates the state of a host that knows only its seeds.
 * @param aSettings Configuration of the host.
 * @param aSeed Seed of the random generator.
 * @return The state.
 */
[[nodiscard]] inline State
MakeState(Settings aSettings, std::uint64_t aSeed)
{
  State state{ .settings = std::move(aSettings),
               .random = SplitMix64{ aSeed } };
  state.self = state.settings.self;
  return state;
}

} // namespace balsampoint::member
