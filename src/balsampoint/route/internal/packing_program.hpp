#pragma once

#include <cstddef>
#include <span>
#include <vector>

namespace balsampoint::route::internal {

/** @brief How much of one row's capacity a column uses for one unit. */
struct RowUse
{
  std::size_t row{};
  /** Share of the row's capacity. */
  double share{};
};

/** @brief One way to use capacity; each unit of it is worth one. */
using Column = std::vector<RowUse>;

/**
 * @brief Finds the most units that fit into given capacities, by the revised
 * simplex method with columns supplied one after another.
 *
 * Columns too many to list are priced outside with `Prices`: a column whose
 * use costs less than one improves the solution.
 */
class PackingProgram
{
public:
  /**
   * @brief Makes a program whose rows are all unused.
   * @param aRows Number of rows, each with a capacity of one.
   */
  explicit PackingProgram(std::size_t aRows);

  /** @brief Price of each row's whole capacity under the current solution. */
  [[nodiscard]] std::span<const double> Prices() const { return mPrices; }

  /** @brief Number of units of the current solution. */
  [[nodiscard]] double Units() const;

  /**
   * @brief Lets a column take part as far as that improves the solution.
   * @param aColumn The column; its use costs less than one.
   * @return Its index in `Amounts`.
   */
  std::size_t Add(Column aColumn);

  /** @brief Units of each column in the order of their adding. */
  [[nodiscard]] std::vector<double> Amounts() const;

private:
  /** What fills one place of the basis. */
  struct BasisEntry
  {
    bool isColumn{ false };
    /** Index of the column, or the row whose rest it is. */
    std::size_t index{};
    double amount{};
  };

  void Enter(BasisEntry aEntry, const Column& aUses);
  void EnterFreeRows();
  [[nodiscard]] std::vector<double> Direction(const Column& aUses) const;
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
