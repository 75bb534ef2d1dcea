#pragma once

#include <cstdint>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <span>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/** @brief What the benchmark programs share. */
namespace balsampoint::bench {

/** @brief Which side of its bound a figure has to stay on. */
enum class BoundKind : std::uint8_t
{
  None,
  AtMost,
  AtLeast,
};

/** @brief One measured figure. */
struct Figure
{
  std::string name;
  double value{};
  std::string unit;
  BoundKind kind{ BoundKind::None };
  double bound{};
  /** Target from which the bound follows. */
  std::string reason;

  /** @brief Whether the figure keeps to its bound. */
  [[nodiscard]] bool Holds() const
  {
    return kind == BoundKind::None ||
           (kind == BoundKind::AtMost ? value <= bound : value >= bound);
  }

  /** @brief The bound as shown in the table. */
  [[nodiscard]] std::string BoundText() const
  {
    if (kind == BoundKind::None) {
      return "-";
    }
    std::ostringstream text;
    text << (kind == BoundKind::AtMost ? "<= " : ">= ") << bound;
    return text.str();
  }
};

/**
 * @brief Collects the figures of one benchmark program.
 *
 * The program ends with `return report.Finish();`. Its option `--json FILE`
 * writes the figures; other arguments are the program's own.
 */
class Report
{
public:
  /**
   * @brief Starts a report.
   * @param aProgram Name of the benchmark.
   * @param aArguments Arguments of `main`.
   */
  Report(std::string_view aProgram, std::span<char* const> aArguments)
    : mProgram{ aProgram }
  {
    for (std::size_t index = 1; index < aArguments.size(); ++index) {
      const std::string_view argument{ aArguments[index] };
      if (argument == "--json" && index + 1 < aArguments.size()) {
        mFile = aArguments[++index];
        continue;
      }
      mArguments.emplace_back(argument);
    }
  }

  /** @brief Arguments that the report itself did not take. */
  [[nodiscard]] std::span<const std::string> Arguments() const
  {
    return mArguments;
  }

  /**
   * @brief Adds a figure without a bound.
   * @param aName What was measured.
   * @param aValue The figure.
   * @param aUnit Its unit.
   */
  void Add(std::string_view aName, double aValue, std::string_view aUnit)
  {
    auto& figure = mFigures.emplace_back();
    figure.name = aName;
    figure.value = aValue;
    figure.unit = aUnit;
  }

  /**
   * @brief Adds a figure that must not be over a bound.
   * @param aName What was measured.
   * @param aValue The figure.
   * @param aUnit Its unit.
   * @param aBound The bound.
   * @param aReason Target from which the bound follows.
   */
  void AtMost(std::string_view aName,
              double aValue,
              std::string_view aUnit,
              double aBound,
              std::string_view aReason)
  {
    mFigures.push_back({ std::string{ aName },
                         aValue,
                         std::string{ aUnit },
                         BoundKind::AtMost,
                         aBound,
                         std::string{ aReason } });
  }

  /**
   * @brief Adds a figure that must not be under a bound.
   * @param aName What was measured.
   * @param aValue The figure.
   * @param aUnit Its unit.
   * @param aBound The bound.
   * @param aReason Target from which the bound follows.
   */
  void AtLeast(std::string_view aName,
               double aValue,
               std::string_view aUnit,
               double aBound,
               std::string_view aReason)
  {
    AtMost(aName, aValue, aUnit, aBound, aReason);
    mFigures.back().kind = BoundKind::AtLeast;
  }

  /**
   * @brief Prints the table and writes the file that was asked for.
   * @return Exit code: 0 when every bound holds, 1 otherwise.
   */
  [[nodiscard]] int Finish() const
  {
    auto list = nlohmann::json::array();
    bool holds = true;
    for (const auto& figure : mFigures) {
      Print(figure);
      holds = holds && figure.Holds();
      list.push_back({ { "program", mProgram },
                       { "name", figure.name },
                       { "value", figure.value },
                       { "unit", figure.unit },
                       { "bound", figure.BoundText() },
                       { "reason", figure.reason },
                       { "holds", figure.Holds() } });
    }
    if (!mFile.empty()) {
      std::ofstream{ mFile } << list.dump(2) << '\n';
    }
    return holds ? 0 : 1;
  }

private:
  void Print(const Figure& aFigure) const
  {
    constexpr int kNameWidth = 52;
    constexpr int kValueWidth = 14;
    constexpr int kUnitWidth = 12;
    std::cout << std::left << std::setw(kNameWidth)
              << mProgram + " " + aFigure.name << std::right
              << std::setw(kValueWidth) << aFigure.value << ' ' << std::left
              << std::setw(kUnitWidth) << aFigure.unit << std::setw(kUnitWidth)
              << aFigure.BoundText();
    if (aFigure.kind != BoundKind::None) {
      std::cout << (aFigure.Holds() ? "holds  " : "BROKEN ") << aFigure.reason;
    }
    std::cout << '\n';
  }

  std::string mProgram;
  std::string mFile;
  std::vector<std::string> mArguments;
  std::vector<Figure> mFigures;
};

} // namespace balsampoint::bench
