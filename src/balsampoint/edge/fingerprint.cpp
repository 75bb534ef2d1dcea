#include "balsampoint/edge/fingerprint.hpp"

#include <cstdint>
#include <fmt/format.h>
#include <xxhash.h>

namespace balsampoint::edge {

std::string
Fingerprint(const RequestIdentity& aIdentity)
{
  std::uint64_t hash = 0;
  for (const auto text : { aIdentity.workspace.Value(),
                           aIdentity.method,
                           aIdentity.host,
                           aIdentity.target,
                           aIdentity.body }) {
    // Each hash covers the length of its text, so that no two lists of texts
    // are hashed as the same bytes.
    hash = XXH3_64bits_withSeed(text.data(), text.size(), hash);
  }
  return fmt::format("{:016x}", hash);
}

} // namespace balsampoint::edge
