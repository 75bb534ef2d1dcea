#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace balsampoint::stream {

/**
 * @brief Converts text to the input of layer 0, and layer outputs to text.
 * @tparam T Type to test.
 */
template<typename T>
concept Tokenizer =
  requires(T& aTokenizer, std::string_view aText, std::uint64_t aOutput) {
    {
      aTokenizer.Append(aText)
    } -> std::same_as<void>;
    {
      aTokenizer.Start()
    } -> std::same_as<std::uint64_t>;
    {
      T::Text(aOutput)
    } -> std::same_as<std::string>;
  };

/**
 * @brief Tokenizer of the stand-in engine.
 *
 * The input of layer 0 is the FNV-1a 64 hash of all text so far. The text of a
 * token is the low 16 bits of the output as four hexadecimal digits and a
 * space.
 */
class HashTokenizer
{
public:
  /**
   * @brief Adds text of the prompt or of a generated token.
   * @param aText Text to append.
   */
  constexpr void Append(std::string_view aText)
  {
    for (const char character : aText) {
      mHash ^= static_cast<unsigned char>(character);
      mHash *= kPrime;
    }
  }

  /** @brief Input of layer 0 at the next position. */
  [[nodiscard]] constexpr std::uint64_t Start() const { return mHash; }

  /**
   * @brief Text of a token.
   * @param aOutput Output of the last layer.
   * @return Four lower-case hexadecimal digits and a space.
   */
  [[nodiscard]] static std::string Text(std::uint64_t aOutput);

private:
  static constexpr std::uint64_t kOffset = 0xcbf29ce484222325ULL;
  static constexpr std::uint64_t kPrime = 0x100000001b3ULL;

  std::uint64_t mHash{ kOffset };
};

/** @brief Digest of an empty KV. */
inline constexpr std::uint64_t kEmptyKvDigest = 0x6b5bULL;

/**
 * @brief Computes the digest of a KV after one more position.
 * @param aDigest Digest of the KV without that position.
 * @param aStart Input of layer 0 at the position.
 * @return The new digest.
 */
[[nodiscard]] constexpr std::uint64_t
ExtendKvDigest(std::uint64_t aDigest, std::uint64_t aStart)
{
  constexpr std::uint64_t kMultiplier = 0xff51afd7ed558ccdULL;
  const auto mixed = (aDigest ^ aStart) * kMultiplier;
  return mixed ^ (mixed >> 32U);
}

} // namespace balsampoint::stream
