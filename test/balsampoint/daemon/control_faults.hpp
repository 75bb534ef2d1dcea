#pragma once

#include "balsampoint/daemon/control_hosts.hpp"

#include <string>

namespace balsampoint::daemon::test {

/**
 * @brief Plays a day of faults on control hosts, drawn from one seed.
 *
 * Hosts are killed, frozen, cut off, wiped and replaced by empty ones, seeds
 * are exchanged, the group is split, all hosts stop at once, links lose
 * messages and disks are slow. The day ends with a fault right after an
 * acknowledgement: as many hosts as may be lost then come back with empty
 * disks, while all others lose power.
 */
class ControlFaults
{
public:
  /** @brief A number of control hosts, and how many may be lost at once. */
  struct Size
  {
    std::size_t hosts{};
    std::uint32_t losses{};
  };

  ControlFaults(std::uint64_t aSeed, Size aSize)
    : world{ aSize.hosts, aSize.losses, kCatchUp, aSeed }
    , mRandom{ aSeed ^ kSalt }
    , mLosses{ aSize.losses }
  {
  }

  /** @brief Plays the day; returns what went wrong, or nothing. */
  std::string Play()
  {
    world.Run(kLead);
    const auto end = world.clock.Now() + std::chrono::seconds{ 40 };
    auto next = world.clock.Now() + Milliseconds(500, 3000);
    while (world.clock.Now() < end) {
      while (!mDue.empty() && mDue.begin()->first <= world.clock.Now()) {
        const auto due = std::move(mDue.begin()->second);
        mDue.erase(mDue.begin());
        due();
      }
      if (world.clock.Now() >= next) {
        next = world.clock.Now() + Milliseconds(200, 5000);
        Draw();
      }
      if (Chance(200)) {
        std::ignore = world.Propose();
      }
      auto until = std::min(next, end);
      until = std::min(until, world.clock.Now() + Milliseconds(20, 700));
      if (!mDue.empty()) {
        until = std::min(until, mDue.begin()->first);
      }
      world.Run(std::max(Duration{ 1 }, until - world.clock.Now()));
    }
    return Close();
  }

  ControlHosts world;

private:
  static constexpr std::size_t kSeeds = 3;
  /** Time after which settings name the successor of a host. */
  static constexpr Duration kSeedLag = std::chrono::seconds{ 3 };
  static constexpr Duration kCatchUp = std::chrono::seconds{ 6 };
  static constexpr Duration kLead = std::chrono::seconds{ 14 };
  static constexpr Duration kRecovery = std::chrono::seconds{ 15 };
  static constexpr std::uint64_t kSalt = 0x5DEECE66D;

  bool Chance(std::uint64_t aPerMille)
  {
    return mRandom.Next() % 1000 < aPerMille;
  }

  Duration Milliseconds(std::uint64_t aMin, std::uint64_t aMax)
  {
    return std::chrono::milliseconds{ static_cast<std::int64_t>(
      aMin + mRandom.Next() % (aMax - aMin + 1)) };
  }

  void Note(const std::string& aText) { world.Note(aText); }

  void At(Duration aIn, std::function<void()> aDo)
  {
    mDue.emplace(world.clock.Now() + aIn, std::move(aDo));
  }

  /** @brief Hosts that run and neither count as lost nor are cut off. */
  std::vector<HostId> Sound() const
  {
    std::vector<HostId> sound;
    for (const auto& [id, host] : world.hosts) {
      if (host.up && !mLost.contains(id)) {
        sound.push_back(id);
      }
    }
    return sound;
  }

  std::size_t LossesLeft() const
  {
    return mLosses - std::min(mLosses, mLost.size() + mGone);
  }

  /** @brief A sound host, at times the leader or the last to acknowledge. */
  HostId Pick()
  {
    const auto sound = Sound();
    if (sound.empty()) {
      return {};
    }
    const auto leader = world.Leader();
    const bool leads = std::ranges::find(sound, leader) != sound.end();
    if (leads && Chance(350)) {
      return leader;
    }
    return sound[mRandom.Next() % sound.size()];
  }

  /** @brief Counts a host as lost until some time after it is back. */
  void Lose(const HostId& aHost, Duration aFor)
  {
    mLost.insert(aHost);
    EndLoss(aFor + kCatchUp, [this, aHost] { mLost.erase(aHost); });
  }

  /** @brief Ends a loss; a split that a loss falls into delays its repair, as
   * the host that could take the place may be on the other side. */
  void EndLoss(Duration aIn, const std::function<void()>& aEnd)
  {
    At(aIn, [this, aEnd] {
      if (world.clock.Now() < mJoinedAt + kCatchUp) {
        EndLoss(mJoinedAt + kCatchUp - world.clock.Now(), aEnd);
        return;
      }
      aEnd();
    });
  }

  void Restart(const HostId& aHost, Duration aFor)
  {
    At(aFor, [this, aHost] {
      Note("start " + aHost.String());
      world.Start(aHost);
    });
  }

  void Draw()
  {
    if (Chance(150)) {
      ExchangeSeeds();
      return;
    }
    if (!mSplit && Chance(120)) {
      Split();
      return;
    }
    if (Chance(60)) {
      StopAll();
      return;
    }
    if (Chance(100)) {
      Disturb();
      return;
    }
    if (LossesLeft() == 0) {
      return;
    }
    const auto host = Pick();
    if (host.Empty()) {
      return;
    }
    switch (mRandom.Next() % 5) {
      case 0:
        Stop(host, false, Milliseconds(300, 7000));
        return;
      case 1:
        Stop(host, true, Milliseconds(300, 3500));
        return;
      case 2:
        Replace(host);
        return;
      case 3:
        Freeze(host, Milliseconds(500, 6000));
        return;
      default:
        CutOff(host, Milliseconds(500, 6000));
    }
  }

  /** @brief Ends a process, at times by a power loss. */
  void End(const HostId& aHost)
  {
    if (Chance(500)) {
      world.LosePower(aHost);
    } else {
      world.Kill(aHost);
    }
  }

  /** @brief All processes end at once and are back soon, with their disks. */
  void StopAll()
  {
    Note("all stop");
    for (const auto& host : Sound()) {
      const auto length = Milliseconds(100, 1000);
      End(host);
      Lose(host, length);
      Restart(host, length);
    }
  }

  /** @brief Links lose messages and disks are slow for some time. */
  void Disturb()
  {
    Note("lossy links, slow disks");
    world.network.Faults().lostPerMille = 60;
    world.syncTime = Milliseconds(1, 100);
    At(Milliseconds(1000, 6000), [this] {
      Note("sound links and disks");
      world.network.Faults().lostPerMille = 0;
      world.syncTime = std::chrono::milliseconds{ 1 };
    });
  }

  void Stop(const HostId& aHost, bool aWipe, Duration aFor)
  {
    Note((aWipe ? "wipe " : "kill ") + aHost.String());
    End(aHost);
    if (aWipe) {
      world.Wipe(aHost);
    }
    Lose(aHost, aFor);
    Restart(aHost, aFor);
  }

  void Replace(const HostId& aHost)
  {
    const auto zone = mRandom.Next() % 3;
    const auto successor = world.Add(zone);
    const auto after = Milliseconds(100, 2500);
    Note("replace " + aHost.String() + " by " + successor.String());
    End(aHost);
    mRemoved.insert(aHost);
    ++mGone;
    At(kSeedLag, [this, aHost, successor] {
      std::ranges::replace(world.seeds, aHost, successor);
    });
    Restart(successor, after);
    EndLoss(after + kCatchUp, [this] { --mGone; });
  }

  void Freeze(const HostId& aHost, Duration aFor)
  {
    Note("freeze " + aHost.String());
    world.Freeze(aHost, true);
    Lose(aHost, aFor);
    At(aFor, [this, aHost] {
      Note("thaw " + aHost.String());
      world.Freeze(aHost, false);
    });
  }

  void CutOff(const HostId& aHost, Duration aFor)
  {
    Note("cut off " + aHost.String());
    std::vector<HostId> others;
    for (const auto& [id, host] : world.hosts) {
      others.push_back(id);
      world.Cut(aHost, id, true);
    }
    Lose(aHost, aFor);
    At(aFor, [this, aHost, others] {
      Note("join " + aHost.String());
      for (const auto& other : others) {
        world.Cut(aHost, other, false);
      }
    });
  }

  void Split()
  {
    std::vector<HostId> running;
    for (const auto& [id, host] : world.hosts) {
      if (host.up) {
        running.push_back(id);
      }
    }
    std::vector<std::pair<HostId, HostId>> links;
    std::string half;
    for (std::size_t i = 0; i < running.size(); ++i) {
      const auto at = i + mRandom.Next() % (running.size() - i);
      std::swap(running[i], running[at]);
    }
    for (std::size_t i = 0; i < running.size() / 2; ++i) {
      half += " " + running[i].String();
      for (std::size_t j = running.size() / 2; j < running.size(); ++j) {
        links.emplace_back(running[i], running[j]);
        world.Cut(running[i], running[j], true);
      }
    }
    Note("split off" + half);
    mSplit = true;
    const auto length = Milliseconds(1000, 6000);
    mJoinedAt = world.clock.Now() + length;
    At(length, [this, links] {
      Note("joined");
      for (const auto& [one, other] : links) {
        world.Cut(one, other, false);
      }
      mSplit = false;
    });
  }

  /** @brief The settings of later starts name other seeds. */
  void ExchangeSeeds()
  {
    std::vector<HostId> known;
    for (const auto& [id, host] : world.hosts) {
      if (!mRemoved.contains(id)) {
        known.push_back(id);
      }
    }
    while (known.size() > kSeeds) {
      known.erase(known.begin() +
                  static_cast<std::ptrdiff_t>(mRandom.Next() % known.size()));
    }
    world.seeds = known;
    std::string names;
    for (const auto& seed : known) {
      names += " " + seed.String();
    }
    Note("seeds" + names);
  }

  /** @brief Final fault: some hosts lose their disks, all others power. */
  std::string Close()
  {
    if (!world.Commit(std::chrono::seconds{ 3 })) {
      Note("no acknowledgement before the final fault");
    }
    std::vector<HostId> wiped;
    const auto count = Chance(300) ? 0 : LossesLeft();
    auto sound = Sound();
    if (count > 0 &&
        std::ranges::find(sound, world.acknowledgedBy) != sound.end() &&
        Chance(700)) {
      wiped.push_back(world.acknowledgedBy);
    }
    while (wiped.size() < count && wiped.size() < sound.size()) {
      const auto& host = sound[mRandom.Next() % sound.size()];
      if (std::ranges::find(wiped, host) == wiped.end()) {
        wiped.push_back(host);
      }
    }
    const bool all = Chance(700);
    Note(std::string{ "final fault" } + (all ? ", all lose power" : ""));
    std::vector<HostId> down;
    for (const auto& [id, host] : world.hosts) {
      const bool isWiped = std::ranges::find(wiped, id) != wiped.end();
      if (host.up && (isWiped || all)) {
        down.push_back(id);
      }
    }
    for (const auto& id : down) {
      world.LosePower(id);
    }
    for (const auto& id : wiped) {
      Note("wipe " + id.String());
      world.Wipe(id);
    }
    for (const auto& id : down) {
      Restart(id, Milliseconds(500, 1500));
    }
    // Everything that was begun ends; then the group has its time to recover.
    while (!mDue.empty()) {
      const auto [at, due] = *mDue.begin();
      mDue.erase(mDue.begin());
      world.Run(std::max(Duration{}, at - world.clock.Now()));
      due();
    }
    if (world.Repairs() > 0) {
      return "a power loss damaged a log\n" + world.log;
    }
    if (world.ReadsAcknowledged(kRecovery)) {
      return world.Commit(kRecovery)
               ? std::string{}
               : "no change is acknowledged\n" + world.log + world.Describe();
    }
    return "read back at the end: number " +
           std::to_string(world.acknowledged) + " was acknowledged\n" +
           world.log + world.Describe();
  }

  fake::Random mRandom;
  std::size_t mLosses;
  std::multimap<Instant, std::function<void()>> mDue;
  std::set<HostId> mLost;
  /** Hosts that are gone for good. */
  std::set<HostId> mRemoved;
  std::size_t mGone{};
  /** End of the last split. */
  Instant mJoinedAt{ Instant::min() + std::chrono::hours{ 1 } };
  bool mSplit{ false };
};

} // namespace balsampoint::daemon::test
