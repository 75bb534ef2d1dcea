#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/peer/generated/peer_types.h"
#include "balsampoint/peer/parcel.hpp"

#include <tl/expected.hpp>

namespace balsampoint::peer {

/** @brief Version of the frame's layout. */
inline constexpr std::int32_t kFrameVersion = 1;

/** @brief Seals frames under the cluster secret and opens what peers sent. */
class Authenticator
{
public:
  /**
   * @brief Keeps the identity.
   * @param aIdentity This host.
   */
  explicit Authenticator(Identity aIdentity);

  /**
   * @brief Makes a frame.
   * @param aTo The receiving host.
   * @param aModule Module that the body is for.
   * @param aBody Encoded message.
   * @return The frame with its authentication code.
   */
  [[nodiscard]] generated::Frame Seal(const HostId& aTo,
                                      ModuleTag aModule,
                                      ByteView aBody) const;

  /**
   * @brief Checks a frame and takes its content out.
   * @param aFrame The frame as received.
   * @return The content, or why it is refused: another version, cluster or
   * recipient (`BadRequest`), or a wrong code (`Unauthorized`).
   */
  [[nodiscard]] tl::expected<Parcel, Error> Open(
    const generated::Frame& aFrame) const;

private:
  [[nodiscard]] std::string Code(const generated::Frame& aFrame) const;

  Identity mIdentity;
};

} // namespace balsampoint::peer
