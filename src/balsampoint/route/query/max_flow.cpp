#include "balsampoint/route/query/max_flow.hpp"

#include "balsampoint/route/internal/packing_program.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <utility>

namespace balsampoint::route {

namespace {

/** Part of the bound that the flow may stay below it. */
constexpr double kGap = 1e-3;
constexpr std::size_t kMaxColumns = 20000;
/** Added to each hop's price, so that of equal ways the shortest is taken. */
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
  for (auto& [key, group] : groups) {
    list.push_back(std::move(group));
  }
  return list;
}

std::vector<std::uint32_t>
Borders(std::span<const Group> aGroups, std::uint32_t aLayers)
{
  std::vector<std::uint32_t> borders{ 0, aLayers };
  for (const auto& group : aGroups) {
    borders.push_back(group.layers.begin);
    borders.push_back(group.layers.end);
  }
  std::ranges::sort(borders);
  const auto repeated = std::ranges::unique(borders);
  borders.erase(repeated.begin(), repeated.end());
  return borders;
}

/** The cheapest way to reach a border. */
struct Reach
{
  double price{ std::numeric_limits<double>::infinity() };
  std::size_t from{};
  std::size_t group{};
};

/** A way of one entry zone with its price. */
struct PricedPath
{
  double price{};
  std::vector<Hop> hops;
};

/** The ways through the graph and the rows that they use. */
class PathModel
{
public:
  PathModel(const Graph& aGraph, std::span<const EntryShare> aShares)
    : mGroups{ MakeGroups(aGraph) }
    , mBorders{ Borders(mGroups, aGraph.layers) }
    , mRows{ mGroups.size() }
  {
    for (const auto& share : aShares) {
      mLinkShares.push_back(LinkShares(aGraph, share.zone));
    }
  }

  [[nodiscard]] const std::vector<Group>& Groups() const { return mGroups; }
  [[nodiscard]] std::size_t Rows() const { return mRows; }

  /** What the prices of hops can add to a way's price at most. */
  [[nodiscard]] double HopPrices() const
  {
    return kHopPrice * static_cast<double>(mBorders.size());
  }

  /** The cheapest way of an entry zone; infinite price when there is none. */
  [[nodiscard]] PricedPath Cheapest(std::size_t aEntry,
                                    std::span<const double> aPrices) const
  {
    std::vector<Reach> reached(mBorders.size());
    reached.front().price = 0;
    for (std::size_t from = 0; from + 1 < mBorders.size(); ++from) {
      for (std::size_t group = 0; group < mGroups.size(); ++group) {
        Extend(
          reached, from, { group, HopPrice(aEntry, group, aPrices) }, aPrices);
      }
    }
    return Trace(reached);
  }

  /** Adds the rows that a way uses. */
  void AddUses(std::size_t aEntry,
               const PricedPath& aPath,
               double aShare,
               std::vector<double>& aUses) const
  {
    for (const auto& hop : aPath.hops) {
      const auto capacity = mGroups[hop.group].layerTokensPerSecond;
      aUses[hop.group] += aShare * hop.layers.Size() / capacity;
      const auto& link = mLinkShares[aEntry][hop.group];
      if (link.row != kNoRow) {
        aUses[link.row] += aShare * link.share;
      }
    }
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
           (link.row == kNoRow ? 0.0 : aPrices[link.row] * link.share);
  }

  void Extend(std::vector<Reach>& aReached,
              std::size_t aFrom,
              PricedGroup aGroup,
              std::span<const double> aPrices) const
  {
    const auto& group = mGroups[aGroup.group];
    if (!group.layers.Holds(mBorders[aFrom])) {
      return;
    }
    const auto layerPrice = aPrices[aGroup.group] / group.layerTokensPerSecond;
    const auto base = aReached[aFrom].price + aGroup.hopPrice;
    for (auto to = aFrom + 1;
         to < mBorders.size() && mBorders[to] <= group.layers.end;
         ++to) {
      const auto price = base + layerPrice * (mBorders[to] - mBorders[aFrom]);
      if (price < aReached[to].price) {
        aReached[to] = { .price = price, .from = aFrom, .group = aGroup.group };
      }
    }
  }

  [[nodiscard]] PricedPath Trace(std::span<const Reach> aReached) const
  {
    PricedPath path{ .price = aReached.back().price };
    if (path.price == std::numeric_limits<double>::infinity()) {
      return path;
    }
    for (auto at = aReached.size() - 1; at != 0; at = aReached[at].from) {
      const LayerRange layers{ .begin = mBorders[aReached[at].from],
                               .end = mBorders[at] };
      path.hops.push_back({ .group = aReached[at].group, .layers = layers });
    }
    std::ranges::reverse(path.hops);
    return path;
  }

  /** Row and share of the link from an entry zone to each group. */
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
        shares[group] = { .row = row, .share = bytes / link.bytesPerSecond };
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
  std::vector<std::uint32_t> mBorders;
  std::size_t mRows;
  std::map<std::pair<ZoneId, ZoneId>, std::size_t> mLinkRows;
  /** For each entry zone and group. */
  std::vector<std::vector<internal::RowUse>> mLinkShares;
};

/** The cheapest way for each entry zone, together one column. */
struct Candidate
{
  double price{};
  std::vector<PricedPath> paths;
};

Candidate
CheapestPaths(const PathModel& aModel,
              std::span<const EntryShare> aShares,
              std::span<const double> aPrices)
{
  Candidate candidate;
  for (std::size_t entry = 0; entry < aShares.size(); ++entry) {
    auto path = aModel.Cheapest(entry, aPrices);
    candidate.price += aShares[entry].share * path.price;
    candidate.paths.push_back(std::move(path));
  }
  return candidate;
}

internal::Column
ToColumn(const PathModel& aModel,
         std::span<const EntryShare> aShares,
         const Candidate& aCandidate)
{
  std::vector<double> uses(aModel.Rows());
  for (std::size_t entry = 0; entry < aShares.size(); ++entry) {
    aModel.AddUses(entry, aCandidate.paths[entry], aShares[entry].share, uses);
  }
  internal::Column column;
  for (std::size_t row = 0; row < uses.size(); ++row) {
    if (uses[row] > 0) {
      column.push_back({ .row = row, .share = uses[row] });
    }
  }
  return column;
}

double
Sum(std::span<const double> aValues)
{
  double sum{};
  for (const auto value : aValues) {
    sum += std::max(0.0, value);
  }
  return sum;
}

void
AddPaths(Flow& aFlow,
         std::span<const EntryShare> aShares,
         std::span<Candidate> aCandidates,
         std::span<const double> aAmounts)
{
  for (std::size_t at = 0; at < aCandidates.size(); ++at) {
    if (aAmounts[at] <= 0) {
      continue;
    }
    for (std::size_t entry = 0; entry < aShares.size(); ++entry) {
      aFlow.paths.push_back(
        { .entry = aShares[entry].zone,
          .hops = std::move(aCandidates[at].paths[entry].hops),
          .tokensPerSecond = aAmounts[at] * aShares[entry].share });
    }
  }
}

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
  const PathModel model{ aGraph, aShares };
  Flow flow{ .groups = model.Groups(),
             .bound = std::numeric_limits<double>::infinity() };
  internal::PackingProgram program{ model.Rows() };
  std::vector<Candidate> candidates;
  while (candidates.size() < kMaxColumns) {
    auto next = CheapestPaths(model, aShares, program.Prices());
    if (next.price == std::numeric_limits<double>::infinity() ||
        next.paths.empty()) {
      return { .groups = model.Groups() };
    }
    if (const auto price = next.price - model.HopPrices(); price > 0) {
      flow.bound = std::min(flow.bound, Sum(program.Prices()) / price);
    }
    if (!candidates.empty() && program.Units() >= flow.bound * (1 - kGap)) {
      break;
    }
    program.Add(ToColumn(model, aShares, next));
    candidates.push_back(std::move(next));
  }
  flow.tokensPerSecond = program.Units();
  AddPaths(flow, aShares, candidates, program.Amounts());
  return flow;
}

} // namespace balsampoint::route
