#include "balsampoint/stream/tokenizer.hpp"

#include <array>

namespace balsampoint::stream {

std::string
HashTokenizer::Text(std::uint64_t aOutput)
{
  constexpr std::array kDigits{ '0', '1', '2', '3', '4', '5', '6', '7',
                                '8', '9', 'a', 'b', 'c', 'd', 'e', 'f' };
  constexpr std::uint64_t kMask = 0xf;
  std::string text;
  for (const unsigned shift : { 12U, 8U, 4U, 0U }) {
    text += kDigits[(aOutput >> shift) & kMask];
  }
  return text + ' ';
}

} // namespace balsampoint::stream
