#pragma once

#include "balsampoint/net/loop.hpp"
#include "balsampoint/net/socket.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

namespace balsampoint::peer::internal {

/** @brief Counts of all connections of a sender; read on any thread. */
struct SenderCounters
{
  std::atomic<std::uint64_t> sentBytes{ 0 };
  std::atomic<std::uint64_t> dropped{ 0 };
};

/** @brief A call that waits to be written. */
struct OutgoingCall
{
  std::string bytes;
  /** Bytes of the message in it. */
  std::size_t bodyBytes{};
};

/**
 * @brief Connection to one host, opened for the first call; runs on one loop's
 * thread.
 *
 * Calls that wait are written together. They are dropped if the queue is full
 * or the connection fails.
 */
class PeerConnection : public std::enable_shared_from_this<PeerConnection>
{
public:
  /**
   * @brief Makes a connection that is not open.
   * @param aLoop Loop on which it runs; outlives it.
   * @param aAddress IP address and port of the host.
   * @param aCounters Counts what is sent and dropped; outlives it.
   */
  PeerConnection(net::Loop& aLoop,
                 std::string aAddress,
                 SenderCounters& aCounters);

  /** @brief IP address and port of the host. */
  [[nodiscard]] const std::string& Address() const noexcept { return mAddress; }

  /**
   * @brief Writes a call as soon as possible; called on the loop's thread.
   * @param aCall The call.
   */
  void Write(OutgoingCall aCall);

  /** @brief Drops what waits; later calls are dropped too. */
  void Close();

private:
  enum class Phase : std::uint8_t
  {
    Idle,
    Connecting,
    Open,
    Closed,
  };

  void Connect();
  void OnConnected();
  void WriteWaiting();
  void WriteRest();
  void AwaitEnd();
  void Fail(const std::string& aReason);
  void Reset();
  void DropWaiting();

  /**
   * @brief Wraps a completion handler: after a reset it does nothing, an error
   * ends the connection.
   * @tparam Function Callable with what the operation returns besides.
   */
  template<typename Function>
  auto Guard(Function aFunction);

  const std::string mAddress;
  SenderCounters& mCounters;
  net::Tcp::socket mSocket;
  net::Timer mConnectTimer;
  Phase mPhase{ Phase::Idle };
  /** Increases with each reset; handlers of earlier connections do nothing. */
  std::uint64_t mGeneration{};
  std::deque<OutgoingCall> mWaiting;
  /** Bytes being written, and what they hold; empty if nothing is. */
  std::string mWriting;
  std::size_t mWritten{};
  std::size_t mCallsInWriting{};
  std::size_t mBodyBytesInWriting{};
  Instant mWriteStartedAt{};
  std::array<char, 1> mUnexpected{};
  Instant mRetryAt{ Instant::min() };
  bool mReachable{ true };
};

} // namespace balsampoint::peer::internal
