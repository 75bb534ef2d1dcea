#pragma once

#include <cstddef>
#include <span>
#include <vector>

namespace balsampoint::route::internal {

/** @brief How much of one row's capacity a column uses for one unit. */
struct RowUse
{
  std::size_t row{};
  double amount{};
};

/** @brief Column of the program: a use of capacity and its value. */
struct Column
{
  /** Objective value of one unit. */
  double value{};
  /** Use of rows by one unit; a negative amount adds capacity. */
  std::vector<RowUse> uses;
};

/**
 * @brief Linear program that maximises value within given capacities, solved by
 * the revised simplex method with columns added one after another.
 *
 * Where there are too many columns to list, the caller finds the next one with
 * `Prices`: a column whose use costs less than its value improves the solution.
 */
class PackingProgram
{
public:
  /**
   * @brief Makes a program without columns.
   * @param aCapacities Capacity of each row.
   */
  explicit PackingProgram(std::span<const double> aCapacities);

  /** @brief Dual price of each row's capacity under the current solution. */
  [[nodiscard]] std::span<const double> Prices() const { return mPrices; }

  /** @brief Objective value of the current solution. */
  [[nodiscard]] double Objective() const;

  /**
   * @brief Adds a column; it enters the basis if that improves the solution.
   * @param aColumn The column.
   * @return Whether it improves the solution. The column gets an index in
   * `Amounts` in any case.
   */
  bool Add(const Column& aColumn);

  /** @brief Units of each column, in the order in which they were added. */
  [[nodiscard]] std::vector<double> Amounts() const;

private:
  /** A basic variable: a column, or the slack of a row. */
  struct BasisEntry
  {
    bool isColumn{ false };
    /** Index of the column, or of the row whose slack it is. */
    std::size_t index{};
    double value{};
    double amount{};
  };

  void Enter(BasisEntry aEntry, std::span<const RowUse> aUses);
  void EnterSlackRows();
  [[nodiscard]] double ReducedCost(const Column& aColumn) const;
  [[nodiscard]] std::vector<double> Direction(
    std::span<const RowUse> aUses) const;
  void Pivot(std::size_t aLeaving, std::span<const double> aDirection);
  void UpdatePrices();
  [[nodiscard]] double& Inverse(std::size_t aRow, std::size_t aColumn)
  {
    return mInverse[aRow * mBasis.size() + aColumn];
  }

  std::vector<BasisEntry> mBasis;
  /** Inverse of the basis, row by row. */
  std::vector<double> mInverse;
  std::vector<double> mPrices;
  std::size_t mColumns{};
};

} // namespace balsampoint::route::internal
