#include "load/expected_answer.hpp"

#include "balsampoint/stream/tokenizer.hpp"

namespace balsampoint::load {

std::string
ExpectedAnswer(std::string_view aPrompt,
               std::uint32_t aTokens,
               std::uint32_t aLayers)
{
  constexpr std::uint64_t kMultiplier = 0x9E3779B97F4A7C15ULL;
  constexpr unsigned kShift = 29;
  stream::HashTokenizer tokenizer;
  tokenizer.Append(aPrompt);
  std::string text;
  for (std::uint32_t step = 0; step < aTokens; ++step) {
    auto hash = tokenizer.Start();
    for (std::uint32_t layer = 0; layer < aLayers; ++layer) {
      hash = (hash ^ (layer + 1ULL)) * kMultiplier;
      hash ^= hash >> kShift;
    }
    const auto token = stream::HashTokenizer::Text(hash);
    text += token;
    tokenizer.Append(token);
  }
  return text;
}

} // namespace balsampoint::load
