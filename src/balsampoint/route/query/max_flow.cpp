#include "balsampoint/route/query/max_flow.hpp"

#include "balsampoint/route/internal/packing_program.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace balsampoint::route {

namespace {

/** Relative gap between flow and upper bound at which the search ends. */
constexpr double kRelativeGap = 5e-3;
constexpr std::size_t kMaxRounds = 2000;
/** Weight of the best bound's prices when mixed with the current ones. */
constexpr double kCentreWeight = 0.8;
/** Added to each hop's price, so that the path with the fewest hops wins a
 * tie. */
constexpr double kHopPrice = 1e-9;
constexpr auto kNoRow = std::numeric_limits<std::size_t>::max();

std::vector<Group>
MakeGroups(const Graph& aGraph)
{
  std::map<std::pair<ZoneId, LayerRange>, Group> groups;
  for (std::size_t at = 0; at < aGraph.nodes.size(); ++at) {
    const auto& stage = aGraph.nodes[at].stage;
    if (stage.layerTokensPerSecond <= 0) {
      continue;
    }
    auto& group = groups[{ stage.zone, stage.layers }];
    group.zone = stage.zone;
    group.layers = stage.layers;
    group.layerTokensPerSecond += stage.layerTokensPerSecond;
    group.nodes.push_back(at);
  }
  std::vector<Group> list;
  list.reserve(groups.size());
  for (auto& [key, group] : groups) {
    list.push_back(std::move(group));
  }
  return list;
}

std::vector<std::uint32_t>
Boundaries(std::span<const Group> aGroups, std::uint32_t aLayers)
{
  std::vector<std::uint32_t> boundaries{ 0, aLayers };
  for (const auto& group : aGroups) {
    boundaries.push_back(group.layers.begin);
    boundaries.push_back(group.layers.end);
  }
  std::ranges::sort(boundaries);
  const auto repeated = std::ranges::unique(boundaries);
  boundaries.erase(repeated.begin(), repeated.end());
  return boundaries;
}

/** The cheapest path from layer 0 to a boundary, as its last hop. */
struct PartialPath
{
  double price{ std::numeric_limits<double>::infinity() };
  std::size_t from{};
  std::size_t group{};
};

/** A path of one entry zone with its price. */
struct PricedPath
{
  double price{};
  std::vector<Hop> hops;
};

/** The paths through the graph and the rows of the program that they use. */
class PathModel
{
public:
  PathModel(const Graph& aGraph, std::span<const EntryShare> aShares)
    : mGroups{ MakeGroups(aGraph) }
    , mBoundaries{ Boundaries(mGroups, aGraph.layers) }
    , mRows{ mGroups.size() }
  {
    for (const auto& group : mGroups) {
      mUnit += group.layerTokensPerSecond / aGraph.layers;
    }
    for (const auto& share : aShares) {
      mLinkShares.push_back(LinkShares(aGraph, share.zone));
    }
  }

  [[nodiscard]] const std::vector<Group>& Groups() const { return mGroups; }
  /** Number of rows of groups and links; the rows of entry zones follow. */
  [[nodiscard]] std::size_t Rows() const { return mRows; }
  /** Tokens per second in one unit of the program's amounts. */
  [[nodiscard]] double Unit() const { return mUnit; }

  /** Upper bound of the sum of `kHopPrice` over one path. */
  [[nodiscard]] double HopPrices() const
  {
    return kHopPrice * static_cast<double>(mBoundaries.size());
  }

  /** The cheapest path of an entry zone; infinite price if there is none. */
  [[nodiscard]] PricedPath CheapestPath(std::size_t aEntry,
                                        std::span<const double> aPrices) const
  {
    std::vector<PartialPath> reached(mBoundaries.size());
    reached.front().price = 0;
    for (std::size_t from = 0; from + 1 < mBoundaries.size(); ++from) {
      for (std::size_t group = 0; group < mGroups.size(); ++group) {
        Extend(
          reached, from, { group, HopPrice(aEntry, group, aPrices) }, aPrices);
      }
    }
    return Trace(reached);
  }

  /** The column of a path: the use of each row by one unit of tokens. */
  [[nodiscard]] internal::Column ToColumn(std::size_t aEntry,
                                          std::span<const Hop> aHops) const
  {
    std::map<std::size_t, double> uses;
    for (const auto& hop : aHops) {
      const auto capacity = mGroups[hop.group].layerTokensPerSecond;
      uses[hop.group] += mUnit * hop.layers.Size() / capacity;
      const auto& link = mLinkShares[aEntry][hop.group];
      if (link.row != kNoRow) {
        uses[link.row] += link.amount;
      }
    }
    internal::Column column;
    for (const auto& [row, amount] : uses) {
      column.uses.push_back({ .row = row, .amount = amount });
    }
    column.uses.push_back({ .row = mRows + aEntry, .amount = -1.0 });
    return column;
  }

  /** 1 for each server group and link, then 0 for each entry zone. */
  [[nodiscard]] std::vector<double> Capacities() const
  {
    std::vector<double> capacities(mRows + mLinkShares.size());
    std::fill_n(capacities.begin(), mRows, 1.0);
    return capacities;
  }

private:
  struct PricedGroup
  {
    std::size_t group{};
    double hopPrice{};
  };

  [[nodiscard]] double HopPrice(std::size_t aEntry,
                                std::size_t aGroup,
                                std::span<const double> aPrices) const
  {
    const auto& link = mLinkShares[aEntry][aGroup];
    return kHopPrice +
           (link.row == kNoRow ? 0.0 : aPrices[link.row] * link.amount);
  }

  void Extend(std::vector<PartialPath>& aReached,
              std::size_t aFrom,
              PricedGroup aGroup,
              std::span<const double> aPrices) const
  {
    const auto& group = mGroups[aGroup.group];
    if (!group.layers.Holds(mBoundaries[aFrom])) {
      return;
    }
    const auto layerPrice =
      mUnit * aPrices[aGroup.group] / group.layerTokensPerSecond;
    const auto base = aReached[aFrom].price + aGroup.hopPrice;
    for (auto to = aFrom + 1;
         to < mBoundaries.size() && mBoundaries[to] <= group.layers.end;
         ++to) {
      const auto price =
        base + layerPrice * (mBoundaries[to] - mBoundaries[aFrom]);
      if (price < aReached[to].price) {
        aReached[to] = { .price = price, .from = aFrom, .group = aGroup.group };
      }
    }
  }

  [[nodiscard]] PricedPath Trace(std::span<const PartialPath> aReached) const
  {
    PricedPath path{ .price = aReached.back().price };
    if (path.price == std::numeric_limits<double>::infinity()) {
      return path;
    }
    for (auto at = aReached.size() - 1; at != 0; at = aReached[at].from) {
      const LayerRange layers{ .begin = mBoundaries[aReached[at].from],
                               .end = mBoundaries[at] };
      path.hops.push_back({ .group = aReached[at].group, .layers = layers });
    }
    std::ranges::reverse(path.hops);
    return path;
  }

  /** For each group, the row of its link to an entry zone and the use of that
   * link by one unit; `kNoRow` where no link limits. */
  std::vector<internal::RowUse> LinkShares(const Graph& aGraph,
                                           const ZoneId& aEntry)
  {
    std::vector<internal::RowUse> shares(mGroups.size(), { .row = kNoRow });
    for (const auto& link : aGraph.links) {
      if (link.bytesPerSecond <= 0 || aGraph.activationBytes == 0 ||
          (link.one != aEntry && link.other != aEntry)) {
        continue;
      }
      const auto& far = link.one == aEntry ? link.other : link.one;
      const auto row = RowOf(link);
      for (std::size_t group = 0; group < mGroups.size(); ++group) {
        if (mGroups[group].zone != far || far == aEntry) {
          continue;
        }
        const auto bytes = static_cast<double>(aGraph.activationBytes);
        shares[group] = { .row = row,
                          .amount = mUnit * bytes / link.bytesPerSecond };
      }
    }
    return shares;
  }

  std::size_t RowOf(const Link& aLink)
  {
    auto key = std::minmax(aLink.one, aLink.other);
    const auto [entry, added] =
      mLinkRows.try_emplace({ key.first, key.second }, mRows);
    mRows += added ? 1 : 0;
    return entry->second;
  }

  std::vector<Group> mGroups;
  std::vector<std::uint32_t> mBoundaries;
  std::size_t mRows;
  double mUnit{};
  std::map<std::pair<ZoneId, ZoneId>, std::size_t> mLinkRows;
  /** Use of links, by entry zone and then by group. */
  std::vector<std::vector<internal::RowUse>> mLinkShares;
};

/** Adds the cheapest paths round by round until the flow is within
 * `kRelativeGap` of its upper bound. */
class FlowSolver
{
public:
  FlowSolver(const Graph& aGraph, std::span<const EntryShare> aShares)
    : mShares{ aShares }
    , mModel{ aGraph, aShares }
    , mProgram{ mModel.Capacities() }
    , mCentre(mModel.Rows(), 1.0 / static_cast<double>(mModel.Rows() + 1))
  {
    internal::Column total{ .value = 1.0 };
    for (std::size_t entry = 0; entry < aShares.size(); ++entry) {
      total.uses.push_back(
        { .row = mModel.Rows() + entry, .amount = aShares[entry].share });
    }
    mProgram.Add(total);
  }

  Flow Solve()
  {
    for (std::size_t round = 0; round < kMaxRounds; ++round) {
      const auto prices = SmoothPrices();
      auto paths = CheapestPaths(prices);
      if (paths.empty()) {
        return { .groups = mModel.Groups() };
      }
      UpdateBound(paths, prices);
      if (mProgram.Objective() >= mBound * (1 - kRelativeGap)) {
        break;
      }
      mSmoothing = AddColumns(paths);
    }
    return Result();
  }

private:
  /**
   * Current prices mixed with those of the best bound, since the current ones
   * oscillate widely; unmixed after a round that improved nothing.
   */
  [[nodiscard]] std::vector<double> SmoothPrices() const
  {
    const auto current = mProgram.Prices().first(mModel.Rows());
    const auto weight = mSmoothing ? kCentreWeight : 0.0;
    std::vector<double> prices(current.size());
    for (std::size_t row = 0; row < prices.size(); ++row) {
      prices[row] =
        weight * mCentre[row] + (1 - weight) * std::max(0.0, current[row]);
    }
    return prices;
  }

  /** The cheapest path of each entry zone; empty if a layer has no server. */
  [[nodiscard]] std::vector<PricedPath> CheapestPaths(
    std::span<const double> aPrices) const
  {
    std::vector<PricedPath> paths;
    for (std::size_t entry = 0; entry < mShares.size(); ++entry) {
      paths.push_back(mModel.CheapestPath(entry, aPrices));
      if (paths.back().hops.empty()) {
        return {};
      }
    }
    return paths;
  }

  /** Updates the upper bound, which by duality is the price of all capacity
   * over the price of one unit of tokens. */
  void UpdateBound(std::span<const PricedPath> aPaths,
                   std::span<const double> aPrices)
  {
    double unit = -mModel.HopPrices();
    for (std::size_t entry = 0; entry < aPaths.size(); ++entry) {
      unit += mShares[entry].share * aPaths[entry].price;
    }
    double all{};
    for (const auto price : aPrices) {
      all += price;
    }
    if (unit > 0 && all / unit < mBound) {
      mBound = all / unit;
      mCentre.assign(aPrices.begin(), aPrices.end());
      for (auto& price : mCentre) {
        price /= unit;
      }
    }
  }

  /** Adds the paths; returns whether any of them improves the flow. */
  bool AddColumns(std::span<PricedPath> aPaths)
  {
    bool improves = false;
    for (std::size_t entry = 0; entry < aPaths.size(); ++entry) {
      improves |= mProgram.Add(mModel.ToColumn(entry, aPaths[entry].hops));
      mPaths.push_back({ .entry = mShares[entry].zone,
                         .hops = std::move(aPaths[entry].hops) });
    }
    return improves;
  }

  [[nodiscard]] Flow Result()
  {
    const auto amounts = mProgram.Amounts();
    Flow flow{ .groups = mModel.Groups(),
               .tokensPerSecond = amounts.front() * mModel.Unit(),
               .bound = mBound * mModel.Unit() };
    for (std::size_t at = 0; at < mPaths.size(); ++at) {
      if (amounts[at + 1] <= 0) {
        continue;
      }
      mPaths[at].tokensPerSecond = amounts[at + 1] * mModel.Unit();
      flow.paths.push_back(std::move(mPaths[at]));
    }
    return flow;
  }

  std::span<const EntryShare> mShares;
  PathModel mModel;
  internal::PackingProgram mProgram;
  double mBound{ std::numeric_limits<double>::infinity() };
  /** Prices that gave the best bound, scaled to a price of 1 for one unit. */
  std::vector<double> mCentre;
  bool mSmoothing{ true };
  /** In the order of their columns, which follow the column of the total. */
  std::vector<Path> mPaths;
};

} // namespace

std::vector<EntryShare>
EqualShares(const Graph& aGraph)
{
  std::vector<EntryShare> shares;
  for (const auto& node : aGraph.nodes) {
    const auto& zone = node.stage.zone;
    if (std::ranges::find(shares, zone, &EntryShare::zone) == shares.end()) {
      shares.push_back({ .zone = zone });
    }
  }
  for (auto& share : shares) {
    share.share = 1.0 / static_cast<double>(shares.size());
  }
  return shares;
}

Flow
MaxFlow(const Graph& aGraph, std::span<const EntryShare> aShares)
{
  if (aShares.empty()) {
    return {};
  }
  return FlowSolver{ aGraph, aShares }.Solve();
}

} // namespace balsampoint::route
