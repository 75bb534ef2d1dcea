#include "balsampoint/daemon/compressed_text.hpp"

#include <criterion/criterion.h>
#include <string>

using namespace balsampoint;
using namespace balsampoint::daemon;

namespace {

/** A configuration's text is much alike from route to route. */
std::string
Routes(int aCount)
{
  std::string text = "{\"routes\":[";
  for (int route = 0; route < aCount; ++route) {
    text += "{\"name\":\"r-" + std::to_string(route * 7919) +
            "\",\"timeout_ms\":20000,\"public\":false},";
  }
  return text + "]}";
}

} // namespace

Test(compressed_text, unpacks_what_it_packed)
{
  for (const auto& text :
       { std::string{}, std::string{ "{}" }, Routes(1200) }) {
    const auto unpacked = Decompress(Compress(text));
    cr_assert(unpacked.has_value());
    cr_assert(*unpacked == text);
  }
}

Test(compressed_text, is_a_small_part_of_a_long_configuration)
{
  const auto text = Routes(1200);
  cr_assert_lt(Compress(text).size() * 4, text.size());
}

Test(compressed_text, is_the_same_for_the_same_text)
{
  cr_assert(Compress(Routes(30)) == Compress(Routes(30)));
}

Test(compressed_text, refuses_damaged_bytes)
{
  auto packed = Compress(Routes(300));
  cr_assert_not(Decompress(packed.substr(0, packed.size() / 2)).has_value());
  packed[packed.size() / 2] ^= 0x55;
  cr_assert_not(Decompress(packed).has_value());
  cr_assert_not(Decompress("no zlib stream").has_value());
}

Test(compressed_text, refuses_more_than_the_longest_text)
{
  const std::string tooLong(kMaxTextBytes + 1, ' ');
  cr_assert_not(Decompress(Compress(tooLong)).has_value());
}
