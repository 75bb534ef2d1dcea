#pragma once

#include "balsampoint/edge/loop.hpp"
#include "balsampoint/edge/socket.hpp"
#include "balsampoint/wire/parser.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
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

/** @brief Limits of a connection of a caller. */
struct CallerBounds
{
  wire::MessageLimits message;
  /** Longest time from the first byte of a request to its last one. */
  Duration requestTimeout{ std::chrono::seconds{ 3 } };
  /** Time after which a connection without a request is closed. */
  Duration idleTimeout{ std::chrono::seconds{ 15 } };
  /** Time that sent bytes may stay unacknowledged. */
  Duration silence{ std::chrono::seconds{ 4 } };
  /** Response bytes that may be queued for a slow caller; with more, the
   * connection is reset. */
  std::size_t unreadBytes{ std::size_t{ 1024 } * 1024 };
};

/**
 * @brief One connection of a caller, which processes one request at a time.
 *
 * The connection is read even while a request is in progress, so that a
 * disconnect of the caller is detected at once.
 * @tparam Owner Handles the requests: `OnRequest(connection, request)`,
 * `OnCallerGone(connection)`, `OnUnreadable(connection, error)`,
 * `OnClosed(connection)`, `Bounds()`.
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
                        Tcp::socket aSocket)
    : mOwner{ aOwner }
    , mSocket{ std::move(aSocket) }
    , mTimer{ aContext }
    , mParser{ wire::MessageKind::Request, aOwner.Bounds().message }
  {
    Prepare(mSocket, aOwner.Bounds().silence);
  }

  /** @brief Starts to read requests. */
  void Start()
  {
    ExpectRequest();
    Read();
  }

  /**
   * @brief Sends a part of the response; queues it while a write is pending.
   * @param aBytes The bytes.
   */
  void Send(std::string_view aBytes)
  {
    mWaiting += aBytes;
    if (mWaiting.size() > mOwner.Bounds().unreadBytes) {
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
   * @param aKeep Whether the connection stays open.
   */
  void Finish(bool aKeep)
  {
    mBusy = false;
    mFinished = true;
    mCloseWhenSent = mCloseWhenSent || !aKeep;
    if (!mWriting && mWaiting.empty()) {
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
    if (aReset) {
      Reset(mSocket);
    } else {
      boost::system::error_code ignored;
      mSocket.shutdown(Tcp::socket::shutdown_send, ignored);
      mSocket.close(ignored);
    }
    if (std::exchange(mBusy, false)) {
      mOwner.OnCallerGone(this->shared_from_this());
    }
    mOwner.OnClosed(this->shared_from_this());
  }

  /** @brief Closes the connection unless a request is arriving or in progress.
   */
  void CloseIfIdle()
  {
    if (!mBusy && !mParser.Started() && mAhead.empty() && !mWriting &&
        mWaiting.empty()) {
      Close(false);
    }
  }

  /** @brief Whether a request is in progress. */
  [[nodiscard]] bool Busy() const noexcept { return mBusy; }

private:
  static constexpr std::size_t kReadBytes = 16384;
  /** Bytes of pipelined requests at which reading pauses. */
  static constexpr std::size_t kAheadBytes = 65536;

  void ExpectRequest()
  {
    mParser.SetLimits(mOwner.Bounds().message);
    mParser.Restart();
    mTimer.Set(mOwner.Bounds().idleTimeout, [self = this->weak_from_this()] {
      if (auto connection = self.lock()) {
        connection->CloseIfIdle();
      }
    });
  }

  void Read()
  {
    if (mReading || !mSocket.is_open() || mAhead.size() >= kAheadBytes) {
      return;
    }
    mReading = true;
    mSocket.async_read_some(
      boost::asio::buffer(mBuffer),
      [self = this->shared_from_this()](const auto& aError, std::size_t aSize) {
        self->mReading = false;
        self->OnRead(aError, aSize);
      });
  }

  void OnRead(const boost::system::error_code& aError, std::size_t aSize)
  {
    if (!mSocket.is_open()) {
      return;
    }
    if (aError) {
      Close(aError != boost::asio::error::eof);
      return;
    }
    mAhead.append(mBuffer.data(), aSize);
    if (!mBusy) {
      Parse();
    }
    Read();
  }

  void Parse()
  {
    const bool begun = mParser.Started();
    const auto used = mParser.Read(mAhead);
    mAhead.erase(0, used);
    if (mParser.Error() != wire::ParseError::None) {
      Refuse(mParser.Error());
      return;
    }
    if (mParser.Complete()) {
      Deliver();
      return;
    }
    if (!begun && mParser.Started()) {
      LimitArrival();
    }
    if (mParser.HasHead() && !mContinued &&
        mParser.Request().fields.HasToken("Expect", "100-continue")) {
      mContinued = true;
      Send("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }

  void LimitArrival()
  {
    mTimer.Set(mOwner.Bounds().requestTimeout, [self = this->weak_from_this()] {
      if (auto connection = self.lock()) {
        connection->OnLate();
      }
    });
  }

  void OnLate()
  {
    if (!mBusy) {
      mBusy = true;
      mOwner.OnUnreadable(
        this->shared_from_this(),
        MakeError(ErrorKind::RequestTimeout,
                  "the request did not arrive completely before the timeout"));
    }
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
    mOwner.OnUnreadable(
      this->shared_from_this(),
      MakeError(kind, "the request is not valid HTTP/1.1 or is too large"));
  }

  void Deliver()
  {
    mBusy = true;
    mContinued = false;
    mTimer.Clear();
    IncomingRequest request{ .head = std::move(mParser.Request()),
                             .body = mParser.TakeBody() };
    mCloseWhenSent = !request.head.keepAlive;
    mOwner.OnRequest(this->shared_from_this(), std::move(request));
  }

  // Not recursive: the completion handler is run later by the loop.
  // NOLINTNEXTLINE(misc-no-recursion)
  void Flush()
  {
    if (mWriting || mWaiting.empty() || !mSocket.is_open()) {
      return;
    }
    mWriting = true;
    mSending = std::exchange(mWaiting, {});
    boost::asio::async_write(
      mSocket,
      boost::asio::buffer(mSending),
      // NOLINTNEXTLINE(misc-no-recursion)
      [self = this->shared_from_this()](const auto& aError, std::size_t) {
        self->mWriting = false;
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
    if (!mWaiting.empty()) {
      Flush();
      return;
    }
    if (mFinished) {
      OnResponseSent();
    }
  }

  void OnResponseSent()
  {
    mFinished = false;
    if (mCloseWhenSent) {
      Close(false);
      return;
    }
    ExpectRequest();
    if (!mAhead.empty()) {
      boost::asio::post(mSocket.get_executor(),
                        [self = this->shared_from_this()] {
                          if (!self->mBusy && self->mSocket.is_open()) {
                            self->Parse();
                          }
                        });
    }
    Read();
  }

  Owner& mOwner;
  Tcp::socket mSocket;
  Timer mTimer;
  wire::Parser mParser;
  std::array<char, kReadBytes> mBuffer{};
  std::string mAhead;
  std::string mWaiting;
  std::string mSending;
  bool mReading{ false };
  bool mWriting{ false };
  bool mBusy{ false };
  bool mFinished{ false };
  bool mContinued{ false };
  bool mCloseWhenSent{ false };
};

} // namespace balsampoint::edge
