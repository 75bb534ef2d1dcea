#pragma once

#include "balsampoint/net/loop.hpp"
#include "balsampoint/net/socket.hpp"
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
struct CallerConnectionLimits
{
  wire::MessageLimits message;
  /** Longest time from the first byte of a request to its last one. */
  Duration requestTimeout{ std::chrono::seconds{ 3 } };
  /** Time after which a connection without a request is closed. */
  Duration idleTimeout{ std::chrono::seconds{ 15 } };
  /** Time that sent bytes may stay unacknowledged. */
  Duration ackTimeout{ std::chrono::seconds{ 4 } };
  /** Response bytes that may be queued behind others for a slow caller; with
   * more, the connection is reset. One part of a response may be larger. */
  std::size_t maxQueuedBytes{ std::size_t{ 1024 } * 1024 };
};

/**
 * @brief One connection of a caller, which processes one request at a time.
 *
 * The connection is read even while a request is in progress, so that a
 * disconnect of the caller is detected at once.
 * @tparam Owner Handles the requests: `OnRequest(connection, request)`,
 * `OnCallerDisconnected(connection)`, `OnInvalidRequest(connection, error)`,
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

  /** Whether the parser is ready for a request: it holds the last one until the
   * response to it is sent. */
  [[nodiscard]] bool AwaitsRequest() const noexcept
  {
    return !mBusy && !mResponseFinished;
  }

  void ExpectRequest()
  {
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
    mReadAhead.append(mBuffer.data(), aSize);
    if (AwaitsRequest()) {
      Parse();
    }
    Read();
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
    if (mParser.Complete()) {
      Deliver();
      return;
    }
    if (!started && mParser.Started()) {
      StartRequestTimer();
    }
    if (mParser.HasHead() && !mContinueSent &&
        mParser.Request().fields.HasToken("Expect", "100-continue")) {
      mContinueSent = true;
      Send("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }

  void StartRequestTimer()
  {
    mTimer.Set(mOwner.Limits().requestTimeout, [self = this->weak_from_this()] {
      if (auto connection = self.lock()) {
        connection->OnRequestTimeout();
      }
    });
  }

  void OnRequestTimeout()
  {
    if (AwaitsRequest()) {
      mBusy = true;
      mOwner.OnInvalidRequest(
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
    if (mCloseWhenSent) {
      Close(false);
      return;
    }
    ExpectRequest();
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
  std::array<char, kReadBytes> mBuffer{};
  std::string mReadAhead;
  std::string mQueued;
  std::string mSending;
  bool mReading{ false };
  bool mWriting{ false };
  bool mBusy{ false };
  bool mResponseFinished{ false };
  bool mContinueSent{ false };
  bool mCloseWhenSent{ false };
};

} // namespace balsampoint::edge
