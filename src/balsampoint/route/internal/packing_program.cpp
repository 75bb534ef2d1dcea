#include "balsampoint/route/internal/packing_program.hpp"

#include <algorithm>
#include <limits>

namespace balsampoint::route::internal {

namespace {

constexpr double kTolerance = 1e-9;
/** Perturbs the capacities, so that no two rows are exhausted at once, which
 * makes the program degenerate. */
constexpr double kPerturbation = 1e-7;

} // namespace

PackingProgram::PackingProgram(std::span<const double> aCapacities)
  : mBasis(aCapacities.size())
  , mInverse(aCapacities.size() * aCapacities.size())
  , mPrices(aCapacities.size())
{
  for (std::size_t row = 0; row < aCapacities.size(); ++row) {
    const auto perturbation = kPerturbation * static_cast<double>(row + 1);
    mBasis[row] = { .index = row, .amount = aCapacities[row] + perturbation };
    Inverse(row, row) = 1.0;
  }
}

double
PackingProgram::Objective() const
{
  double objective{};
  for (const auto& entry : mBasis) {
    objective += entry.value * entry.amount;
  }
  return objective;
}

bool
PackingProgram::Add(const Column& aColumn)
{
  const auto index = mColumns++;
  if (ReducedCost(aColumn) <= kTolerance) {
    return false;
  }
  Enter({ .isColumn = true, .index = index, .value = aColumn.value },
        aColumn.uses);
  EnterSlackRows();
  return true;
}

double
PackingProgram::ReducedCost(const Column& aColumn) const
{
  auto reducedCost = aColumn.value;
  for (const auto& use : aColumn.uses) {
    reducedCost -= mPrices[use.row] * use.amount;
  }
  return reducedCost;
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
PackingProgram::Enter(BasisEntry aEntry, std::span<const RowUse> aUses)
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
PackingProgram::EnterSlackRows()
{
  for (std::size_t tries = 0; tries < mBasis.size(); ++tries) {
    const auto lowest = std::ranges::min_element(mPrices);
    if (lowest == mPrices.end() || *lowest >= -kTolerance) {
      return;
    }
    const auto row = static_cast<std::size_t>(lowest - mPrices.begin());
    const RowUse use{ .row = row, .amount = 1.0 };
    Enter({ .index = row }, { &use, 1 });
  }
}

std::vector<double>
PackingProgram::Direction(std::span<const RowUse> aUses) const
{
  const auto size = mBasis.size();
  std::vector<double> direction(size);
  for (std::size_t row = 0; row < size; ++row) {
    for (const auto& use : aUses) {
      direction[row] += mInverse[row * size + use.row] * use.amount;
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
    const auto value = mBasis[row].value;
    if (value == 0.0) {
      continue;
    }
    for (std::size_t column = 0; column < size; ++column) {
      mPrices[column] += value * Inverse(row, column);
    }
  }
}

} // namespace balsampoint::route::internal
