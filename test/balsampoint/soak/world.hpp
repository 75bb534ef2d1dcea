#pragma once

#include "balsampoint/core/split_mix.hpp"
#include "balsampoint/fleet/command/follow_roster.hpp"
#include "balsampoint/fleet/query/choose_chain.hpp"
#include "balsampoint/placement/module.hpp"
#include "balsampoint/roster/module.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace balsampoint::test {

/** @brief An engine that reports late, obeys late and may end at any time. */
struct SoakEngine
{
  roster::Claim claim;
  double memoryMb{};
  std::uint64_t orders{};
  /** What it is loading; it holds nothing meanwhile. */
  std::optional<LayerRange> loading;
  Instant loadedAt{ kNever };
  bool up{ true };
  /** Until when it sends no heartbeat and takes no order. */
  Instant frozenUntil{ Instant::min() };
  Instant nextBeat{};
  /** The control host that hears it, by its position. */
  std::size_t control{};
};

/** @brief A control host or entry host with its decision modules. */
struct SoakHost
{
  roster::HostAddress name;
  ZoneId zone;
  bool isControl{ false };
  bool up{ true };
  /** Until when it neither ticks nor reads. */
  Instant frozenUntil{ Instant::min() };
  roster::State roster;
  placement::State placement;
  fleet::State fleet;
};

/**
 * @brief Control hosts, entry hosts and engines of three zones on virtual time.
 *
 * Messages take some milliseconds, keep their order between two hosts and are
 * lost where the way is cut. Everything follows from the seed.
 */
class World
{
public:
  /**
   * @brief Starts all hosts and engines.
   * @param aSeed Chooses delays and faults.
   */
  explicit World(std::uint64_t aSeed);

  /** @brief Runs for a time while faults come and go. */
  void RunWithFaults(Duration aTime);

  /** @brief Ends all faults and runs on. */
  void RunCalm(Duration aTime);

  /** @brief Rules broken so far, with the time of each. */
  [[nodiscard]] const std::vector<std::string>& Broken() const
  {
    return mBroken;
  }

  /** @brief What a settled fleet must show and does not. */
  [[nodiscard]] std::vector<std::string> Unsettled() const;

private:
  using Task = std::function<void()>;

  void AddHost(const std::string& aName, const ZoneId& aZone, bool aIsControl);
  void StartHost(SoakHost& aHost);
  void AddEngine(const std::string& aKind, const ZoneId& aZone);
  void RestartEngine(SoakEngine& aEngine);

  void RunUntil(Instant aEnd);
  void Step();
  void StepEngine(SoakEngine& aEngine);
  void StepHost(SoakHost& aHost);
  void Elect();
  void CheckChains(SoakHost& aHost);

  void Tell(SoakHost& aHost, const roster::Event& aEvent);
  void Run(SoakHost& aHost, const roster::Actions& aActions);
  void Tell(SoakHost& aHost, const placement::Event& aEvent);
  void Run(SoakHost& aHost, const placement::Actions& aActions);
  void Carry(SoakHost& aHost, const placement::SendOrder& aGive);
  void Carry(SoakHost& aHost, const placement::RequestReport& aAsk);
  placement::OrderOutcome Obey(SoakEngine& aEngine,
                               const placement::SendOrder& aGive);

  void Fault();
  void FaultOfEngine(SoakEngine& aEngine);
  void FaultOfHost(SoakHost& aHost);
  void FaultOfZone(const ZoneId& aZone);
  void Cut(const ZoneId& aFrom, const ZoneId& aTo, Duration aFor);

  [[nodiscard]] bool Open(const ZoneId& aFrom, const ZoneId& aTo) const;
  [[nodiscard]] std::uint64_t Draw(std::uint64_t aLimit);
  [[nodiscard]] Duration Delay();
  void At(Instant aTime, Task aTask)
  {
    mTasks.emplace(aTime, std::move(aTask));
  }
  void Break(const std::string& aRule, const std::string& aWhat);

  SplitMix64 mRandom;
  Instant mNow{ std::chrono::hours{ 1 } };
  std::vector<ZoneId> mZones;
  std::vector<SoakHost> mHosts;
  std::vector<SoakEngine> mEngines;
  std::multimap<Instant, Task> mTasks;
  std::map<std::pair<std::size_t, std::size_t>, Instant> mLastArrival;
  std::map<std::pair<ZoneId, ZoneId>, Instant> mCutUntil;
  std::uint64_t mIncarnations{ 1 };
  std::uint64_t mTerm{ 1 };
  std::size_t mLeader{};
  Instant mLeaderFailedAt{ kNever };
  Instant mLastOrderAt{};
  routing::Document mDocument;
  std::vector<std::string> mBroken;
};

} // namespace balsampoint::test
