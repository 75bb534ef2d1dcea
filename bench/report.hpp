#pragma once

#include <cstdio>
#include <cstring>
#include <fstream>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace balsampoint::bench {

/** @brief On which side of its bound a figure must be. */
enum class Bound
{
  None,
  AtLeast,
  AtMost,
};

/** @brief One measured figure. */
struct Figure
{
  std::string name;
  double value{};
  std::string unit;
  Bound kind{ Bound::None };
  double bound{};

  /** @brief Whether the figure keeps its bound. */
  [[nodiscard]] bool Holds() const
  {
    switch (kind) {
      case Bound::AtLeast:
        return value >= bound;
      case Bound::AtMost:
        return value <= bound;
      case Bound::None:
        break;
    }
    return true;
  }
};

/** @brief Prints figures as they come and keeps them for JSON. */
class Report
{
public:
  /**
   * @brief Prints and keeps a figure.
   * @param aFigure The figure.
   */
  void Add(Figure aFigure)
  {
    std::printf("%-58s %12.4g %-8s",
                aFigure.name.c_str(),
                aFigure.value,
                aFigure.unit.c_str());
    if (aFigure.kind != Bound::None) {
      std::printf(" %s %-8.4g %s",
                  aFigure.kind == Bound::AtLeast ? ">=" : "<=",
                  aFigure.bound,
                  aFigure.Holds() ? "ok" : "PAST BOUND");
    }
    std::printf("\n");
    std::fflush(stdout);
    mFigures.push_back(std::move(aFigure));
  }

  /**
   * @brief Writes JSON when the arguments hold `--json FILE`.
   * @param aArguments Arguments of the program.
   * @return Exit code: 1 when a figure is past its bound.
   */
  int Finish(std::span<char*> aArguments) const
  {
    for (std::size_t at = 1; at + 1 < aArguments.size(); ++at) {
      if (std::strcmp(aArguments[at], "--json") == 0) {
        WriteJson(aArguments[at + 1]);
      }
    }
    for (const auto& figure : mFigures) {
      if (!figure.Holds()) {
        return 1;
      }
    }
    return 0;
  }

private:
  void WriteJson(const char* aFile) const
  {
    std::ofstream out{ aFile };
    out << "[\n";
    for (std::size_t at = 0; at < mFigures.size(); ++at) {
      const auto& figure = mFigures[at];
      out << "  {\"name\": \"" << figure.name
          << "\", \"value\": " << figure.value << ", \"unit\": \""
          << figure.unit << '"';
      if (figure.kind != Bound::None) {
        out << ", \"bound\": " << figure.bound
            << ", \"holds\": " << (figure.Holds() ? "true" : "false");
      }
      out << (at + 1 < mFigures.size() ? "},\n" : "}\n");
    }
    out << "]\n";
  }

  std::vector<Figure> mFigures;
};

} // namespace balsampoint::bench
