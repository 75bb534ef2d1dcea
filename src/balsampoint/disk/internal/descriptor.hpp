#pragma once

#include <unistd.h>
#include <utility>

namespace balsampoint::disk::internal {

/** @brief Owns a file descriptor. */
class Descriptor
{
public:
  Descriptor() = default;

  /**
   * @brief Takes a descriptor over.
   * @param aValue The descriptor; negative for none.
   */
  explicit Descriptor(int aValue)
    : mValue{ aValue }
  {
  }

  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;

  Descriptor(Descriptor&& aOther) noexcept
    : mValue{ std::exchange(aOther.mValue, kNone) }
  {
  }

  Descriptor& operator=(Descriptor&& aOther) noexcept
  {
    std::swap(mValue, aOther.mValue);
    return *this;
  }

  ~Descriptor()
  {
    if (mValue >= 0) {
      ::close(mValue);
    }
  }

  /** @brief The descriptor; negative for none. */
  [[nodiscard]] int Value() const noexcept { return mValue; }

  /** @brief Whether there is one. */
  [[nodiscard]] bool Valid() const noexcept { return mValue >= 0; }

private:
  static constexpr int kNone = -1;

  int mValue{ kNone };
};

} // namespace balsampoint::disk::internal
