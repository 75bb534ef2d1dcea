#pragma once

#include "balsampoint/peer/authenticator.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace balsampoint::peer {

/** @brief Accepts connections of other daemons and hands on what they send. */
class Receiver
{
public:
  /** @brief Called on the receiver's thread for each accepted message. */
  using Handler = std::function<void(Parcel)>;

  /** @brief Bytes of incomplete calls: enough for several of the largest. */
  static constexpr std::size_t kDefaultMaxBytes =
    std::size_t{ 64 } * 1024 * 1024;

  /**
   * @brief Listens from now on.
   * @param aAddress IP number and port.
   * @param aIdentity This host.
   * @param aHandler Takes the messages; must not block.
   * @param aMaxBytes Bytes that incomplete calls of all connections may take;
   * with more, the connections that have stalled and the largest are closed.
   * @return The receiver, or `Internal` when the address can't be bound.
   */
  [[nodiscard]] static tl::expected<std::unique_ptr<Receiver>, Error> Listen(
    const std::string& aAddress,
    Identity aIdentity,
    Handler aHandler,
    std::size_t aMaxBytes = kDefaultMaxBytes);

  Receiver(const Receiver&) = delete;
  Receiver& operator=(const Receiver&) = delete;
  Receiver(Receiver&&) = delete;
  Receiver& operator=(Receiver&&) = delete;

  /** @brief Closes all connections and joins the thread. */
  ~Receiver();

  /** @brief Calls refused so far: malformed, or with a wrong code, cluster,
   * version or size. */
  [[nodiscard]] std::uint64_t Refused() const;

private:
  /** @brief The connections and their thread; hides the event loop's headers.
   */
  class Listener;

  explicit Receiver(std::unique_ptr<Listener> aListener);

  std::unique_ptr<Listener> mListener;
};

} // namespace balsampoint::peer
