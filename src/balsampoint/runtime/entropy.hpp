#pragma once

#include <cstdint>
#include <sys/random.h>

namespace balsampoint::runtime {

/** @brief Random numbers from the kernel's generator (`getrandom`). */
class Entropy
{
public:
  /** @brief Returns a random number; retries if the call is interrupted. */
  static std::uint64_t Next()
  {
    std::uint64_t value = 0;
    auto* bytes = reinterpret_cast<char*>(&value);
    std::size_t filled = 0;
    while (filled < sizeof value) {
      const auto count = getrandom(bytes + filled, sizeof value - filled, 0);
      if (count > 0) {
        filled += static_cast<std::size_t>(count);
      }
    }
    return value;
  }
};

} // namespace balsampoint::runtime
