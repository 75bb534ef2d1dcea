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

/** @brief One way to use capacity. */
struct Column
{
  /** Worth of one unit. */
  double value{};
  /** Use by one unit; a negative one frees capacity. */
  std::vector<RowUse> uses;
};

/**
 * @brief Finds the most worth that fits into given capacities, by the revised
 * simplex method with columns supplied one after another.
 *
 * Columns too many to list are priced outside with `Prices`: a column whose
 * use costs less than its value improves the solution.
 */
class PackingProgram
{
public:
  /**
   * @brief Makes a program whose rows are all unused.
   * @param aCapacities Capacity of each row.
   */
  explicit PackingProgram(std::span<const double> aCapacities);

  /** @brief Price of a unit of each row's capacity under the current solution.
   */
  [[nodiscard]] std::span<const double> Prices() const { return mPrices; }

  /** @brief Worth of the current solution. */
  [[nodiscard]] double Worth() const;

  /**
   * @brief Lets a column take part as far as that improves the solution.
   * @param aColumn The column.
   * @return Whether it improves the solution; it has an index in `Amounts`
   * in any case.
   */
  bool Add(const Column& aColumn);

  /** @brief Units of each column in the order of their adding. */
  [[nodiscard]] std::vector<double> Amounts() const;

private:
  /** What fills one place of the basis. */
  struct BasisEntry
  {
    bool isColumn{ false };
    /** Index of the column, or the row whose rest it is. */
    std::size_t index{};
    double value{};
    double amount{};
  };

  void Enter(BasisEntry aEntry, std::span<const RowUse> aUses);
  void EnterFreeRows();
  [[nodiscard]] double Profit(const Column& aColumn) const;
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
