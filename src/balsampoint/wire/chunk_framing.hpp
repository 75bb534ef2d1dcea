#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace balsampoint::wire {

/**
 * @brief Checks that a chunked body is framed as its sizes say.
 *
 * The parser's library takes any bytes for the ends of chunks and lines.
 */
class ChunkFraming
{
public:
  /**
   * @brief Checks the next bytes of the body.
   * @param aBytes Bytes of any length, none behind the end of the body.
   * @return False if they can't belong to the body; no others may follow.
   */
  [[nodiscard]] bool Check(std::string_view aBytes);

private:
  enum class Part : std::uint8_t
  {
    Size,
    Data,
    DataEnd,
    Trailer,
    End,
  };

  /** Adds bytes to the line in progress, up to its end; returns their number.
   */
  std::size_t ReadLine(std::string_view aBytes);
  [[nodiscard]] bool MayBeLine() const;
  [[nodiscard]] bool FinishLine();
  [[nodiscard]] bool FinishSize(std::string_view aLine);
  [[nodiscard]] bool FinishTrailer(std::string_view aLine);

  Part mPart{ Part::Size };
  std::string mLine;
  /** Bytes of the chunk that are still to come. */
  std::uint64_t mLeft{};
};

} // namespace balsampoint::wire
