#pragma once

#include "balsampoint/core/split_mix.hpp"
#include "balsampoint/member/settings.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace balsampoint::member {

/** @brief What is known of another host. */
struct Peer
{
  Host host;
  /** When it was last marked so. */
  Instant changedAt{};
  /** Messages that still carry this entry along. */
  std::uint32_t remaining{};
};

/** @brief The probe that waits for an answer, if its target is named. */
struct Probe
{
  HostId target;
  std::uint64_t sequence{};
  Instant deadline{ kNever };
  /** Whether other hosts were asked already. */
  bool indirect{ false };
};

/** @brief The membership as one host sees it. */
struct State
{
  Settings settings;
  SplitMix64 random;
  Host self;
  /** Messages that still carry this host's own entry along. */
  std::uint32_t selfRemaining{};
  std::map<HostId, Peer> peers;
  Probe probe;
  /** Hosts of the own zone still to be probed in this round. */
  std::vector<HostId> round;
  std::uint64_t sequence{};
  Instant probeAt{};
  Instant joinAt{};
  Instant digestAt{};
  /** When the next broadcast to the zone is due; `kNever` for none. */
  Instant newsAt{ kNever };
  Instant lastNewsAt{};
  std::set<HostId> news;
  /** Whether the view changed since it was last published. */
  bool changed{ true };
};

/**
 * @brief Makes the state of a host that knows only its seeds.
 * @param aSettings The settings.
 * @param aSeed Chooses the sequence of random numbers.
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
