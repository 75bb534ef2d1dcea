#pragma once

#include "balsampoint/edge/caller_connection_limits.hpp"
#include "balsampoint/edge/memory_account.hpp"
#include "balsampoint/net/loop.hpp"
#include "balsampoint/net/socket.hpp"
#include "balsampoint/runtime/steady_clock.hpp"
#include "balsampoint/wire/parser.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace balsampoint::edge {

/** @brief A request that was received completely. */
struct IncomingRequest
{
  wire::RequestHead head;
  std::string body;
  /** When its last byte was read. */
  Instant arrivedAt{};
};

/**
 * @brief One connection of a caller, which processes one request at a time.
 *
 * The connection is read even while a request is in progress, so that a
 * disconnect of the caller is detected at once.
 * @tparam Owner Handles the requests: `OnRequest(connection, request)`,
 * `OnCallerDisconnected(connection)`, `OnInvalidRequest(connection, error)`,
 * `OnHeadAwaited(connection)`, `OnHeadRead(connection)`,
 * `OnClosed(connection)`, `Limits()`.
 */
template<typename Owner>
class BasicCallerConnection
  : public std::enable_shared_from_this<BasicCallerConnection<Owner>>
{
public:
  /**
   * @brief Takes over an accepted socket.
   * @param aOwner Handles the requests; outlives the connection.
   * @param aContext I/O context of the loop.
   * @param aSocket The socket.
   */
  BasicCallerConnection(Owner& aOwner,
                        boost::asio::io_context& aContext,
                        net::Tcp::socket aSocket)
    : mOwner{ aOwner }
    , mSocket{ std::move(aSocket) }
    , mTimer{ aContext }
    , mParser{ wire::MessageKind::Request, aOwner.Limits().message }
  {
    net::ConfigureSocket(mSocket, aOwner.Limits().ackTimeout);
  }

  /** @brief Starts to read requests. */
  void Start()
  {
    auto self = this->weak_from_this();
    mShare = MemoryShare{ mOwner.Limits().memory,
                          { .resume =
                              [self] {
                                if (auto connection = self.lock()) {
                                  connection->Read();
                                }
                              },
                            .release =
                              [self](memory::Relief aRelief) {
                                if (auto connection = self.lock()) {
                                  connection->ReleaseMemory(aRelief);
                                }
                              } } };
    ExpectRequest();
    Read();
  }

  /**
   * @brief Sends a part of the response; queues it while a write is pending.
   * @param aBytes The bytes.
   */
  void Send(std::string_view aBytes)
  {
    const bool isBehind = !mQueued.empty();
    mQueued += aBytes;
    RecordMemory(0);
    if (isBehind && mQueued.size() > mOwner.Limits().maxQueuedBytes) {
      boost::asio::post(
        mSocket.get_executor(),
        [self = this->shared_from_this()] { self->Close(true); });
      return;
    }
    Flush();
  }

  /**
   * @brief Marks the response as complete; the next request is read once it is
   * sent.
   * @param aKeepAlive Whether the connection stays open.
   */
  void Finish(bool aKeepAlive)
  {
    mBusy = false;
    mRequestBytes = 0;
    mResponseFinished = true;
    mCloseWhenSent = mCloseWhenSent || !aKeepAlive;
    if (!mWriting && mQueued.empty()) {
      OnResponseSent();
    }
  }

  /**
   * @brief Closes the connection at once.
   * @param aReset Whether to reset the connection, which shows the peer that
   * the response is incomplete.
   */
  void Close(bool aReset)
  {
    if (!mSocket.is_open()) {
      return;
    }
    mTimer.Clear();
    mShare.Release();
    if (aReset) {
      net::ResetConnection(mSocket);
    } else {
      boost::system::error_code ignored;
      mSocket.shutdown(net::Tcp::socket::shutdown_send, ignored);
      mSocket.close(ignored);
    }
    if (std::exchange(mBusy, false)) {
      mOwner.OnCallerDisconnected(this->shared_from_this());
    }
    mOwner.OnClosed(this->shared_from_this());
  }

  /** @brief Closes the connection unless a request is arriving or in progress.
   */
  void CloseIfIdle()
  {
    if (!mBusy && !mParser.Started() && mReadAhead.empty() && !mWriting &&
        mQueued.empty()) {
      Close(false);
    }
  }

  /** @brief Whether a request is in progress. */
  [[nodiscard]] bool Busy() const noexcept { return mBusy; }

private:
  static constexpr std::size_t kReadBytes = 16384;
  /** Bytes of pipelined requests at which reading pauses. */
  static constexpr std::size_t kMaxReadAheadBytes = 65536;
  /** Capacity above which the buffer of an idle connection is released. */
  static constexpr std::size_t kKeptBytes = 1024;
  /** Time between two checks of the rate of a body. */
  static constexpr Duration kRateInterval = std::chrono::milliseconds{ 500 };
  /** Time after which a refused caller may try again: by then, callers that
   * have stalled are refused as well. */
  static constexpr Duration kRetryAfter = std::chrono::seconds{ 1 };

  /** Whether the parser is ready for a request: it holds the last one until the
   * response to it is sent. */
  [[nodiscard]] bool AwaitsRequest() const noexcept
  {
    return !mBusy && !mResponseFinished;
  }

  void ExpectRequest()
  {
    mOwner.OnHeadAwaited(this->shared_from_this());
    mParser.SetLimits(mOwner.Limits().message);
    mParser.Restart();
    mTimer.Set(mOwner.Limits().idleTimeout, [self = this->weak_from_this()] {
      if (auto connection = self.lock()) {
        connection->CloseIfIdle();
      }
    });
  }

  void Read()
  {
    if (mReading || !mSocket.is_open() ||
        mReadAhead.size() >= kMaxReadAheadBytes) {
      return;
    }
    if (AwaitsRequest() && !mShare.MayRead()) {
      RecordMemory(0);
      return;
    }
    mReading = true;
    // A pending read would need a buffer for each connection that is silent.
    mSocket.async_wait(net::Tcp::socket::wait_read,
                       [self = this->shared_from_this()](const auto& aError) {
                         self->mReading = false;
                         self->OnReadable(aError);
                       });
  }

  void OnReadable(boost::system::error_code aError)
  {
    if (!mSocket.is_open()) {
      return;
    }
    std::array<char, kReadBytes> buffer; // NOLINT(*-member-init)
    std::size_t size = 0;
    if (!aError) {
      mSocket.non_blocking(true, aError);
    }
    if (!aError) {
      size = mSocket.read_some(boost::asio::buffer(buffer), aError);
    }
    if (aError == boost::asio::error::would_block) {
      Read();
      return;
    }
    OnRead(aError, { buffer.data(), size });
  }

  void OnRead(const boost::system::error_code& aError, std::string_view aBytes)
  {
    if (aError) {
      Close(aError != boost::asio::error::eof);
      return;
    }
    mReadAhead += aBytes;
    if (AwaitsRequest()) {
      Parse();
    }
    RecordMemory(aBytes.size());
    Read();
  }

  /** Tells the account what the connection holds. */
  void RecordMemory(std::size_t aMoved)
  {
    if (!mSocket.is_open()) {
      return;
    }
    if (mReadAhead.empty() && mReadAhead.capacity() > kKeptBytes) {
      std::string{}.swap(mReadAhead);
    }
    const auto queued = mQueued.capacity() + mSending.capacity();
    auto work = memory::Work::Running;
    if (AwaitsRequest()) {
      work = memory::Work::Receiving;
    } else if (!mQueued.empty() || !mSending.empty()) {
      work = memory::Work::Sending;
    }
    // A body is held once more, in the bytes for the server, when it is sent.
    mShare.Record({ .work = work,
                    .bytes = mReadAhead.capacity() + mParser.HeadCapacity() +
                             2 * mParser.BodyCapacity() + mRequestBytes +
                             queued + mShare.UnreadBytes(),
                    .moved = aMoved });
  }

  void ReleaseMemory(memory::Relief aRelief)
  {
    if (aRelief == memory::Relief::Cut || !AwaitsRequest()) {
      Close(true);
      return;
    }
    RefuseOverloaded();
  }

  void RefuseOverloaded()
  {
    auto error = MakeError(ErrorKind::Overloaded,
                           "the host has no memory for the request");
    error.retryAfter = kRetryAfter;
    mBusy = true;
    mTimer.Clear();
    ReleaseRequest();
    mOwner.OnInvalidRequest(this->shared_from_this(), error);
  }

  /** Releases the bytes of a request that is refused. */
  void ReleaseRequest()
  {
    mParser.Restart();
    std::string{}.swap(mReadAhead);
    RecordMemory(0);
  }

  void Parse()
  {
    const bool started = mParser.Started();
    const auto consumed = mParser.Read(mReadAhead);
    mReadAhead.erase(0, consumed);
    if (mParser.Error() != wire::ParseError::None) {
      Refuse(mParser.Error());
      return;
    }
    if (mParser.HasHead()) {
      mOwner.OnHeadRead(this->shared_from_this());
    }
    if (mParser.Complete()) {
      Deliver();
      return;
    }
    if (!started && mParser.Started()) {
      SetRequestTimer(mOwner.Limits().requestTimeout);
    }
    if (mParser.HasHead() && !std::exchange(mBodyStarted, true)) {
      mBodyStartedAt = runtime::SteadyClock::Now();
      SetRequestTimer(mOwner.Limits().requestTimeout);
    }
    if (mParser.HasHead() && !mContinueSent &&
        mParser.Request().fields.HasToken("Expect", "100-continue")) {
      mContinueSent = true;
      Send("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }

  void SetRequestTimer(Duration aAfter)
  {
    mTimer.Set(aAfter, [self = this->weak_from_this()] {
      if (auto connection = self.lock()) {
        connection->OnRequestTimeout();
      }
    });
  }

  void OnRequestTimeout()
  {
    if (!AwaitsRequest()) {
      return;
    }
    if (mBodyStarted && IsBodyInTime()) {
      SetRequestTimer(kRateInterval);
      return;
    }
    if (mShare.IsPaused()) {
      RefuseOverloaded();
      return;
    }
    mBusy = true;
    ReleaseRequest();
    mOwner.OnInvalidRequest(
      this->shared_from_this(),
      MakeError(ErrorKind::RequestTimeout,
                "the request did not arrive completely before the timeout"));
  }

  /** Whether the body has not passed its deadline and arrives fast enough. */
  [[nodiscard]] bool IsBodyInTime() const
  {
    const auto& limits = mOwner.Limits();
    const auto age = runtime::SteadyClock::Now() - mBodyStartedAt;
    const std::chrono::duration<double> seconds = age;
    return age < limits.bodyTimeout &&
           (mShare.IsPaused() ||
            static_cast<double>(mParser.BodyRead()) >=
              static_cast<double>(limits.bodyRate) * seconds.count());
  }

  void Refuse(wire::ParseError aError)
  {
    auto kind = ErrorKind::BadRequest;
    if (aError == wire::ParseError::HeadTooLarge) {
      kind = ErrorKind::HeadersTooLarge;
    } else if (aError == wire::ParseError::BodyTooLarge) {
      kind = ErrorKind::PayloadTooLarge;
    }
    mBusy = true;
    mTimer.Clear();
    ReleaseRequest();
    mOwner.OnInvalidRequest(
      this->shared_from_this(),
      MakeError(kind, "the request is not valid HTTP/1.1 or is too large"));
  }

  void Deliver()
  {
    mBusy = true;
    mContinueSent = false;
    mTimer.Clear();
    IncomingRequest request{ .head = std::move(mParser.Request()),
                             .body = mParser.TakeBody() };
    mCloseWhenSent = !request.head.keepAlive;
    mRequestBytes = request.body.capacity();
    RecordMemory(0);
    mOwner.OnRequest(this->shared_from_this(), std::move(request));
  }

  // Not recursive: the completion handler is run later by the loop.
  // NOLINTNEXTLINE(misc-no-recursion)
  void Flush()
  {
    if (mWriting || mQueued.empty() || !mSocket.is_open()) {
      return;
    }
    mWriting = true;
    mSending = std::exchange(mQueued, {});
    mSent = 0;
    Write();
  }

  // NOLINTNEXTLINE(misc-no-recursion)
  void Write()
  {
    mSocket.async_write_some(
      boost::asio::buffer(mSending) + mSent,
      // NOLINTNEXTLINE(misc-no-recursion)
      [self = this->shared_from_this()](const auto& aError, std::size_t aSize) {
        self->mSent += aSize;
        if (!aError && self->mSocket.is_open() &&
            self->mSent < self->mSending.size()) {
          self->RecordMemory(aSize);
          self->Write();
          return;
        }
        self->mWriting = false;
        std::string{}.swap(self->mSending);
        self->RecordMemory(aSize);
        self->OnWritten(aError);
      });
  }

  // NOLINTNEXTLINE(misc-no-recursion)
  void OnWritten(const boost::system::error_code& aError)
  {
    if (!mSocket.is_open()) {
      return;
    }
    if (aError) {
      Close(true);
      return;
    }
    if (!mQueued.empty()) {
      Flush();
      return;
    }
    if (mResponseFinished) {
      OnResponseSent();
    }
  }

  void OnResponseSent()
  {
    mResponseFinished = false;
    mBodyStarted = false;
    if (mCloseWhenSent) {
      Close(false);
      return;
    }
    ExpectRequest();
    RecordMemory(0);
    if (!mReadAhead.empty()) {
      boost::asio::post(
        mSocket.get_executor(), [self = this->shared_from_this()] {
          if (self->AwaitsRequest() && self->mSocket.is_open()) {
            self->Parse();
          }
        });
    }
    Read();
  }

  Owner& mOwner;
  net::Tcp::socket mSocket;
  net::Timer mTimer;
  wire::Parser mParser;
  MemoryShare mShare;
  Instant mBodyStartedAt{};
  std::string mReadAhead;
  std::string mQueued;
  std::string mSending;
  /** Bytes of `mSending` that were written. */
  std::size_t mSent{};
  /** Bytes of the body of the request in progress. */
  std::size_t mRequestBytes{};
  bool mReading{ false };
  bool mWriting{ false };
  bool mBusy{ false };
  bool mBodyStarted{ false };
  bool mResponseFinished{ false };
  bool mContinueSent{ false };
  bool mCloseWhenSent{ false };
};

} // namespace balsampoint::edge
