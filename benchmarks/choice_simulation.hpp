#pragma once

#include "balsampoint/core/split_mix.hpp"
#include "balsampoint/fleet/command/set_remote_usage.hpp"
#include "balsampoint/fleet/command/track_work.hpp"
#include "balsampoint/fleet/internal/cost.hpp"
#include "balsampoint/fleet/query/choose_chain.hpp"
#include "choice_cluster.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace balsampoint::bench {

/** @brief How the hosts choose. */
struct ChoiceRule
{
  std::string name;
  double spread{ 0.3 };
  /** Growth of the random weight with the fill level. */
  double fullSpread{};
  double answerFraction{ 0.3 };
  /** Searches with different random weights, one of whose chains is drawn in
   * proportion to its free KV. */
  int draws{ 1 };
  /** Part of the change between two reports that is added again for the age
   * of the newer one; negative to take part of it back. */
  double extrapolation{};
  /** How often the reported free KV is given out to the hosts; zero doesn't
   * divide it. */
  double shares{};
  /** Part of this host's sends since the report that each other host is taken
   * to have sent as well. */
  double othersLikeOwn{};
};

/** @brief Load on the engines and age of the reports. */
struct ChoiceLoad
{
  std::size_t hosts{ 80 };
  double rate{ 310.0 };
  /** Mean age of reports, in seconds; zero for none. */
  double delay{ 0.4 };
  std::uint64_t seed{ 1 };
};

/** @brief Figures of one run, after the warm-up. */
struct ChoiceFigures
{
  double arrivals{};
  /** Requests sent to engines, and those rejected there. */
  double sent{};
  double rejected{};
  /** Requests without any chain. */
  double refused{};
  double lost{};
  double served{};
  /** Mean over time and sets of servers with the same layers, weighted by
   * servers, of the busiest server's use to the mean. */
  double busiest{};
  double fill{};
  double eventMs{};
  double firstMs{};
  double predictedFirstMs{};
  double microseconds{};
};

/**
 * @brief Hosts that choose chains for requests, and engines with a KV that
 * fills as answers grow, on virtual time.
 *
 * An engine rejects a request whose prompt doesn't fit at its arrival. When
 * answers outgrow an engine, its newest requests lose their KV and end. A
 * rejected request is sent once more, to other engines.
 */
class ChoiceSimulation
{
public:
  ChoiceSimulation(ChoiceRule aRule, ChoiceLoad aLoad)
    : mRule{ std::move(aRule) }
    , mLoad{ aLoad }
    , mProfile{ LargeProfile() }
    , mRandom{ aLoad.seed }
  {
    const auto roster = LargeRoster(mProfile);
    for (std::size_t at = 0; at < aLoad.hosts; ++at) {
      auto& host = mHosts.emplace_back();
      host.state = MakeHost(mProfile, roster, at);
      host.state.settings.spread = mRule.spread;
      host.state.settings.fullSpread = mRule.fullSpread;
      host.state.settings.answerFraction = mRule.answerFraction;
      host.nextReport = kReportInterval * mRandom.NextUnit();
    }
    for (const auto& [id, server] : Servers(mHosts.front())) {
      mIndex[id] = mEngines.size();
      const auto held = server.claim.description.layers;
      mEngines.push_back({ .id = id,
                           .capacity = server.kvCapacity,
                           .layers = held.value_or(LayerRange{}),
                           .zone = server.claim.description.zone,
                           .stepFactor = server.stepFactor,
                           .readFactor = server.readFactor });
    }
    FindAlike();
  }

  ChoiceFigures Run(double aWarmUp, double aEnd)
  {
    double arrival = 0.0;
    for (double now = 0.0; now < aEnd; now += kTick) {
      mMeasured = now >= aWarmUp;
      while (arrival < now) {
        Arrive(arrival);
        arrival += -std::log(1.0 - mRandom.NextUnit()) / mLoad.rate;
      }
      Advance(now);
      KeepSnapshot(now);
      if (mMeasured) {
        MeasureFill();
      }
    }
    const auto samples = static_cast<double>(mSamples);
    mFigures.busiest /= samples;
    mFigures.fill /= samples;
    mFigures.eventMs /= std::max(1.0, mStarted);
    mFigures.firstMs /= std::max(1.0, mStarted);
    mFigures.predictedFirstMs /= std::max(1.0, mStarted);
    mFigures.microseconds /= std::max(1.0, mChoices);
    return mFigures;
  }

private:
  static constexpr double kTick = 0.02;
  static constexpr double kReportInterval = 0.2;
  static constexpr double kMilli = 1000.0;

  using Works = std::vector<fleet::Work>;

  struct Engine
  {
    ServerId id;
    double capacity{};
    LayerRange layers;
    ZoneId zone;
    double stepFactor{};
    double readFactor{};
    double used{};
    std::uint32_t passing{};
    /** When it has read the prompts sent to it. */
    double readUntil{};
  };

  struct Host
  {
    fleet::State state;
    double nextReport{};
    /** Work of others in the last two reports, and the age of the newer. */
    Works reported;
    Works before;
    double reportedAt{};
    double measuredAt{};
    double measuredBefore{};
    /** This host's own work when it took over the report. */
    Works ownAtReport;
  };

  struct Snapshot
  {
    double time{};
    Works total;
    std::vector<Works> own;
  };

  struct Active
  {
    std::size_t host{};
    fleet::Chain chain;
    fleet::Reservation reserved;
    std::vector<std::pair<std::size_t, double>> engines;
    double prompt{};
    double answer{};
    double grown{};
    double begin{};
    double firstEvent{};
    double end{};
    bool started{ false };
    bool gone{ false };
  };

  struct Request
  {
    std::size_t host{};
    double prompt{};
    double answer{};
  };

  static std::map<ServerId, fleet::Server>& Servers(Host& aHost)
  {
    return aHost.state.groups.at(kModel).servers;
  }

  static Instant At(double aSeconds)
  {
    return Instant{ std::chrono::hours{ 1 } } +
           std::chrono::duration_cast<Duration>(
             std::chrono::duration<double>{ aSeconds });
  }

  /** Sets of engines in one zone and at least half of whose layers are the
   * same. */
  void FindAlike()
  {
    std::vector<bool> taken(mEngines.size());
    for (std::size_t one = 0; one < mEngines.size(); ++one) {
      if (taken[one] || mEngines[one].layers.Size() == 0) {
        continue;
      }
      std::vector<std::size_t> alike;
      for (auto other = one; other < mEngines.size(); ++other) {
        if (!taken[other] && Alike(mEngines[one], mEngines[other])) {
          taken[other] = true;
          alike.push_back(other);
        }
      }
      if (alike.size() > 1) {
        mAlike.push_back(std::move(alike));
      }
    }
  }

  static bool Alike(const Engine& aOne, const Engine& aOther)
  {
    const auto begin = std::max(aOne.layers.begin, aOther.layers.begin);
    const auto end = std::min(aOne.layers.end, aOther.layers.end);
    const auto most = std::max(aOne.layers.Size(), aOther.layers.Size());
    return aOne.zone == aOther.zone && end > begin && 2 * (end - begin) >= most;
  }

  Request DrawRequest()
  {
    // Prompts of 100 to 2,300 tokens, mean 760; answers of 34 to 57 events.
    const auto part = mRandom.NextUnit();
    return { .host = mRandom.Next() % mHosts.size(),
             .prompt = 100.0 + 2200.0 * std::pow(part, 2.33),
             .answer =
               (34.0 + 23.0 * mRandom.NextUnit()) * mProfile.tokensPerPass };
  }

  void Arrive(double aNow)
  {
    const auto request = DrawRequest();
    mFigures.arrivals += mMeasured ? 1.0 : 0.0;
    std::set<ServerId> failed;
    for (int attempt = 0; attempt < 2; ++attempt) {
      if (TryOnce(aNow, request, failed)) {
        return;
      }
    }
  }

  /** Whether the request was taken or has no chain. */
  bool TryOnce(double aNow,
               const Request& aRequest,
               std::set<ServerId>& aFailed)
  {
    auto& host = mHosts[aRequest.host];
    TakeReport(aNow, host, aRequest.host);
    fleet::Demand demand{ .service = kModel,
                          .promptTokens = aRequest.prompt,
                          .answerTokens = mProfile.meanAnswerTokens,
                          .failed = aFailed };
    const auto chain = Choose(host, demand, aNow);
    if (!chain) {
      mFigures.refused += mMeasured ? 1.0 : 0.0;
      return true;
    }
    mFigures.sent += mMeasured ? 1.0 : 0.0;
    const auto full = FullEngine(*chain, aRequest.prompt);
    if (full == nullptr) {
      Begin(aNow, aRequest, *chain);
      return true;
    }
    mFigures.rejected += mMeasured ? 1.0 : 0.0;
    aFailed.insert(full->server);
    fleet::RecordOutcome(
      host.state, kModel, full->address, fleet::RequestOutcome::Full, At(aNow));
    return false;
  }

  tl::expected<fleet::Chain, Error> Choose(Host& aHost,
                                           fleet::Demand& aDemand,
                                           double aNow)
  {
    const auto begin = std::chrono::steady_clock::now();
    std::vector<fleet::Chain> chains;
    tl::expected<fleet::Chain, Error> last = fleet::Chain{};
    for (int draw = 0; draw < mRule.draws; ++draw) {
      aDemand.randomSample = mRandom.Next();
      last = fleet::ChooseChain(aHost.state, aDemand, At(aNow));
      if (last) {
        chains.push_back(*last);
      }
    }
    const std::chrono::duration<double, std::micro> time =
      std::chrono::steady_clock::now() - begin;
    mFigures.microseconds += mMeasured ? time.count() : 0.0;
    mChoices += mMeasured ? 1.0 : 0.0;
    return chains.empty() ? last : DrawByRoom(aHost, chains);
  }

  fleet::Chain DrawByRoom(Host& aHost, const std::vector<fleet::Chain>& aChains)
  {
    std::vector<double> rooms;
    double sum = 0.0;
    for (const auto& chain : aChains) {
      double room = 1.0;
      for (const auto& hop : chain.hops) {
        const auto& server = Servers(aHost).at(hop.server);
        room = std::min(room, 1.0 - server.KvUsed() / server.kvCapacity);
      }
      rooms.push_back(std::max(0.001, room));
      sum += rooms.back();
    }
    auto drawn = sum * mRandom.NextUnit();
    std::size_t at = 0;
    while (at + 1 < rooms.size() && drawn >= rooms[at]) {
      drawn -= rooms[at++];
    }
    return aChains[at];
  }

  const fleet::Hop* FullEngine(const fleet::Chain& aChain, double aPrompt)
  {
    for (const auto& hop : aChain.hops) {
      const auto& engine = mEngines[mIndex.at(hop.server)];
      if (engine.used + aPrompt * hop.layers.Size() > engine.capacity) {
        return &hop;
      }
    }
    return nullptr;
  }

  void Begin(double aNow, const Request& aRequest, const fleet::Chain& aChain)
  {
    Active active{ .host = aRequest.host,
                   .chain = aChain,
                   .reserved = { aChain.tokens, aChain.promptTokens },
                   .prompt = aRequest.prompt,
                   .answer = aRequest.answer,
                   .begin = aNow };
    fleet::Reserve(
      mHosts[active.host].state, kModel, aChain.hops, active.reserved);
    double eventMs = 0.0;
    auto at = aNow;
    for (const auto& hop : aChain.hops) {
      auto& engine = mEngines[mIndex.at(hop.server)];
      const double layers = hop.layers.Size();
      active.engines.emplace_back(mIndex.at(hop.server), layers);
      engine.used += aRequest.prompt * layers;
      ++engine.passing;
      eventMs += fleet::internal::PassMs(
                   mProfile, engine.stepFactor, layers, engine.passing) +
                 fleet::internal::PassMs(mProfile,
                                         engine.stepFactor,
                                         engine.layers.Size(),
                                         engine.passing - 1.0) /
                   2;
      const auto read =
        fleet::internal::ReadMs(
          mProfile, engine.readFactor, layers, aRequest.prompt) /
        kMilli;
      engine.readUntil = std::max(aNow, engine.readUntil) + read;
      at = std::max(at + read, engine.readUntil);
    }
    const auto perEvent = eventMs / kMilli;
    active.firstEvent = at + perEvent;
    active.end =
      active.firstEvent + aRequest.answer / mProfile.tokensPerPass * perEvent;
    if (mMeasured) {
      mStarted += 1.0;
      mFigures.eventMs += eventMs;
      mFigures.predictedFirstMs += aChain.firstEventMs;
      mFigures.firstMs += (active.firstEvent - aNow) * kMilli;
    }
    mActive.push_back(std::move(active));
  }

  void Advance(double aNow)
  {
    for (auto& active : mActive) {
      Grow(active, aNow);
    }
    for (auto& active : mActive) {
      if (!active.gone && aNow >= active.end) {
        mFigures.served += mMeasured ? 1.0 : 0.0;
        End(active);
      }
    }
    // The newest requests lose their KV first.
    for (auto at = mActive.rbegin(); at != mActive.rend(); ++at) {
      if (!at->gone && Overflows(*at)) {
        mFigures.lost += mMeasured ? 1.0 : 0.0;
        End(*at);
      }
    }
    std::erase_if(mActive, [](const Active& aOne) { return aOne.gone; });
  }

  [[nodiscard]] bool Overflows(const Active& aActive) const
  {
    return std::ranges::any_of(aActive.engines, [&](const auto& aEntry) {
      const auto& engine = mEngines[aEntry.first];
      return engine.used > engine.capacity;
    });
  }

  void Grow(Active& aActive, double aNow)
  {
    if (aNow < aActive.firstEvent) {
      return;
    }
    if (!aActive.started) {
      aActive.started = true;
      fleet::RecordEvent(mHosts[aActive.host].state,
                         kModel,
                         aActive.chain.hops,
                         aActive.reserved,
                         {},
                         At(aNow));
    }
    const auto part =
      (aNow - aActive.firstEvent) / (aActive.end - aActive.firstEvent);
    const auto grown = aActive.answer * std::min(1.0, part);
    for (const auto& [engine, layers] : aActive.engines) {
      mEngines[engine].used += (grown - aActive.grown) * layers;
    }
    aActive.grown = grown;
  }

  void End(Active& aActive)
  {
    for (const auto& [at, layers] : aActive.engines) {
      auto& engine = mEngines[at];
      engine.used -= (aActive.prompt + aActive.grown) * layers;
      --engine.passing;
    }
    fleet::Release(
      mHosts[aActive.host].state, kModel, aActive.chain.hops, aActive.reserved);
    aActive.gone = true;
  }

  Works OwnWork(Host& aHost)
  {
    Works works;
    works.reserve(mEngines.size());
    for (const auto& [id, server] : Servers(aHost)) {
      works.push_back(server.localWork);
    }
    return works;
  }

  void KeepSnapshot(double aNow)
  {
    constexpr double kEvery = 0.04;
    if (!mSnapshots.empty() && aNow < mSnapshots.back().time + kEvery) {
      return;
    }
    Snapshot snapshot{ .time = aNow, .total = Works(mEngines.size()) };
    for (auto& host : mHosts) {
      auto own = OwnWork(host);
      for (std::size_t at = 0; at < own.size(); ++at) {
        auto& total = snapshot.total[at];
        total.passing += own[at].passing;
        total.sent += own[at].sent;
        total.kv += own[at].kv;
        total.waitingPrompt += own[at].waitingPrompt;
      }
      snapshot.own.push_back(std::move(own));
    }
    mSnapshots.push_back(std::move(snapshot));
    while (mSnapshots.front().time < aNow - mLoad.delay - kReportInterval) {
      mSnapshots.pop_front();
    }
  }

  /** Sum of the other hosts' work, from one of the snapshots. */
  Works OthersAt(const Snapshot& aSnapshot, std::size_t aHost) const
  {
    auto works = aSnapshot.total;
    const auto& own = aSnapshot.own[aHost];
    for (std::size_t at = 0; at < works.size(); ++at) {
      works[at].passing -= own[at].passing;
      works[at].sent -= own[at].sent;
      works[at].kv -= own[at].kv;
      works[at].waitingPrompt -= own[at].waitingPrompt;
    }
    return works;
  }

  void TakeReport(double aNow, Host& aHost, std::size_t aNumber)
  {
    if (mLoad.delay <= 0.0) {
      TakeCurrent(aHost);
      return;
    }
    if (aNow >= aHost.nextReport && !mSnapshots.empty()) {
      aHost.nextReport +=
        kReportInterval *
        std::ceil((aNow - aHost.nextReport + 1e-9) / kReportInterval);
      // Reports arrive before half an interval has passed since they are due,
      // so their mean age while they are used is the delay.
      const auto arrived = aHost.nextReport - kReportInterval;
      const auto wanted = arrived - (mLoad.delay - kReportInterval / 2);
      const auto found = std::ranges::find_if(
        mSnapshots.rbegin(), mSnapshots.rend(), [&](const Snapshot& aOne) {
          return aOne.time <= wanted;
        });
      const auto& snapshot =
        found == mSnapshots.rend() ? mSnapshots.front() : *found;
      aHost.before = std::move(aHost.reported);
      aHost.measuredBefore = aHost.measuredAt;
      aHost.reported = OthersAt(snapshot, aNumber);
      aHost.measuredAt = snapshot.time;
      aHost.ownAtReport = OwnWork(aHost);
    }
    if (!aHost.reported.empty()) {
      Apply(aNow, aHost);
    }
  }

  void TakeCurrent(Host& aHost)
  {
    Works total(mEngines.size());
    for (const auto& active : mActive) {
      for (const auto& [at, layers] : active.engines) {
        total[at].kv += active.reserved.tokens * layers;
        total[at].waitingPrompt += active.reserved.promptTokens * layers;
        ++total[at].passing;
      }
      ++total[active.engines.front().first].sent;
    }
    std::size_t at = 0;
    for (auto& [id, server] : Servers(aHost)) {
      auto& all = total[at++];
      all.kv -= server.localWork.kv;
      all.passing -= server.localWork.passing;
      all.sent -= server.localWork.sent;
      all.waitingPrompt -= server.localWork.waitingPrompt;
      server.remoteWork = all;
    }
  }

  /** Sets the work of others as the rule sees it now. */
  void Apply(double aNow, Host& aHost)
  {
    const auto others = static_cast<double>(mHosts.size() - 1);
    std::size_t at = 0;
    for (auto& [id, server] : Servers(aHost)) {
      auto work = aHost.reported[at];
      const auto& own = server.localWork;
      const auto& ownBefore = aHost.ownAtReport[at];
      const auto span = aHost.measuredAt - aHost.measuredBefore;
      if (mRule.extrapolation != 0.0 && !aHost.before.empty() && span > 0.0) {
        const auto part =
          mRule.extrapolation * (aNow - aHost.measuredAt) / span;
        work.kv =
          std::max(0.0, work.kv + part * (work.kv - aHost.before[at].kv));
      }
      work.kv +=
        mRule.othersLikeOwn * others * std::max(0.0, own.kv - ownBefore.kv);
      if (mRule.shares > 0.0) {
        const auto room =
          server.kvCapacity * aHost.state.settings.maxKvFraction;
        const auto free = std::max(0.0, room - work.kv - ownBefore.kv);
        const auto share = std::min(free, free * mRule.shares / others);
        const auto used = std::max(0.0, own.kv - ownBefore.kv);
        // Filled in proportion to what this host has used of its share.
        work.kv += used / std::max(1.0, share) * free - used;
      }
      server.remoteWork = work;
      ++at;
    }
  }

  void MeasureFill()
  {
    ++mSamples;
    double sum = 0.0;
    double servers = 0.0;
    for (const auto& alike : mAlike) {
      double most = 0.0;
      double all = 0.0;
      for (const auto at : alike) {
        const auto fill = mEngines[at].used / mEngines[at].capacity;
        most = std::max(most, fill);
        all += fill;
      }
      const auto size = static_cast<double>(alike.size());
      if (all > 0.0) {
        sum += size * most / (all / size);
        servers += size;
      }
    }
    mFigures.busiest += servers > 0.0 ? sum / servers : 0.0;
    double used = 0.0;
    double capacity = 0.0;
    for (const auto& engine : mEngines) {
      used += engine.used;
      capacity += engine.capacity;
    }
    mFigures.fill += used / capacity;
  }

  ChoiceRule mRule;
  ChoiceLoad mLoad;
  routing::EngineProfile mProfile;
  SplitMix64 mRandom;
  std::vector<Host> mHosts;
  std::vector<Engine> mEngines;
  std::map<ServerId, std::size_t> mIndex;
  std::vector<std::vector<std::size_t>> mAlike;
  std::deque<Active> mActive;
  std::deque<Snapshot> mSnapshots;
  ChoiceFigures mFigures;
  bool mMeasured{ false };
  std::size_t mSamples{};
  double mStarted{};
  double mChoices{};
};

} // namespace balsampoint::bench
