#include "balsampoint/route/internal/packing_program.hpp"

#include <algorithm>
#include <limits>

namespace balsampoint::route::internal {

namespace {

constexpr double kTolerance = 1e-9;
/** Spreads the capacities a little, so that no two rows run out together. */
constexpr double kSpread = 1e-7;

} // namespace

PackingProgram::PackingProgram(std::size_t aRows)
  : mBasis(aRows)
  , mInverse(aRows * aRows)
  , mPrices(aRows)
{
  for (std::size_t row = 0; row < aRows; ++row) {
    const auto spread = kSpread * static_cast<double>(row + 1);
    mBasis[row] = { .index = row, .amount = 1.0 + spread };
    Inverse(row, row) = 1.0;
  }
}

double
PackingProgram::Units() const
{
  double units{};
  for (const auto& entry : mBasis) {
    units += entry.isColumn ? entry.amount : 0.0;
  }
  return units;
}

std::size_t
PackingProgram::Add(Column aColumn)
{
  const auto index = mColumns++;
  Enter({ .isColumn = true, .index = index }, aColumn);
  EnterFreeRows();
  return index;
}

std::vector<double>
PackingProgram::Amounts() const
{
  std::vector<double> amounts(mColumns);
  for (const auto& entry : mBasis) {
    if (entry.isColumn) {
      amounts[entry.index] = std::max(0.0, entry.amount);
    }
  }
  return amounts;
}

void
PackingProgram::Enter(BasisEntry aEntry, const Column& aUses)
{
  const auto direction = Direction(aUses);
  auto least = std::numeric_limits<double>::infinity();
  auto leaving = mBasis.size();
  for (std::size_t row = 0; row < mBasis.size(); ++row) {
    if (direction[row] <= kTolerance) {
      continue;
    }
    const auto ratio = mBasis[row].amount / direction[row];
    if (ratio < least) {
      least = ratio;
      leaving = row;
    }
  }
  if (leaving == mBasis.size()) {
    return;
  }
  for (std::size_t row = 0; row < mBasis.size(); ++row) {
    mBasis[row].amount -= least * direction[row];
  }
  aEntry.amount = least;
  mBasis[leaving] = aEntry;
  Pivot(leaving, direction);
  UpdatePrices();
}

void
PackingProgram::EnterFreeRows()
{
  for (std::size_t tries = 0; tries < mBasis.size(); ++tries) {
    const auto lowest = std::ranges::min_element(mPrices);
    if (lowest == mPrices.end() || *lowest >= -kTolerance) {
      return;
    }
    const auto row = static_cast<std::size_t>(lowest - mPrices.begin());
    Enter({ .index = row }, { { .row = row, .share = 1.0 } });
  }
}

std::vector<double>
PackingProgram::Direction(const Column& aUses) const
{
  const auto size = mBasis.size();
  std::vector<double> direction(size);
  for (std::size_t row = 0; row < size; ++row) {
    for (const auto& use : aUses) {
      direction[row] += mInverse[row * size + use.row] * use.share;
    }
  }
  return direction;
}

void
PackingProgram::Pivot(std::size_t aLeaving, std::span<const double> aDirection)
{
  const auto size = mBasis.size();
  const auto pivot = aDirection[aLeaving];
  for (std::size_t column = 0; column < size; ++column) {
    Inverse(aLeaving, column) /= pivot;
  }
  const std::span leaving{ &Inverse(aLeaving, 0), size };
  for (std::size_t row = 0; row < size; ++row) {
    const auto factor = aDirection[row];
    if (row == aLeaving || factor == 0.0) {
      continue;
    }
    for (std::size_t column = 0; column < size; ++column) {
      Inverse(row, column) -= factor * leaving[column];
    }
  }
}

void
PackingProgram::UpdatePrices()
{
  const auto size = mBasis.size();
  std::ranges::fill(mPrices, 0.0);
  for (std::size_t row = 0; row < size; ++row) {
    if (!mBasis[row].isColumn) {
      continue;
    }
    for (std::size_t column = 0; column < size; ++column) {
      mPrices[column] += Inverse(row, column);
    }
  }
}

} // namespace balsampoint::route::internal
