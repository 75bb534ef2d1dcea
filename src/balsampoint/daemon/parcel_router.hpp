#pragma once

#include "balsampoint/daemon/control.hpp"
#include "balsampoint/peer/parcel.hpp"

#include <atomic>
#include <cstdint>

namespace balsampoint::daemon {

/** @brief Decodes what other hosts send and posts it to the control thread. */
class ParcelRouter
{
public:
  /**
   * @brief Keeps the way to the control thread.
   * @param aMailbox Queue into the control thread; outlives the router.
   */
  explicit ParcelRouter(ControlMailbox& aMailbox);

  /**
   * @brief Takes one message; an undecodable one is counted and logged.
   * @param aParcel The message.
   */
  void Take(const peer::Parcel& aParcel);

  /** @brief Messages refused so far. */
  [[nodiscard]] std::uint64_t Refused() const { return mRefused; }

private:
  [[nodiscard]] tl::expected<Control::Event, Error> Decode(
    const peer::Parcel& aParcel) const;

  ControlMailbox& mMailbox;
  std::atomic<std::uint64_t> mRefused{ 0 };
};

} // namespace balsampoint::daemon
