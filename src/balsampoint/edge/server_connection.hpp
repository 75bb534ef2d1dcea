#pragma once

#include "balsampoint/edge/loop.hpp"
#include "balsampoint/edge/socket.hpp"
#include "balsampoint/wire/parser.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace balsampoint::edge {

/** @brief Bounds on connections to backend servers. */
struct ServerBounds
{
  /** Time for a connection to be established. */
  Duration connectTimeout{ std::chrono::milliseconds{ 250 } };
  /** Time that sent bytes may stay unacknowledged. */
  Duration silence{ std::chrono::seconds{ 2 } };
  /** Time that a connection is kept without work, unless told otherwise. */
  Duration idleTimeout{ std::chrono::seconds{ 3 } };
  wire::MessageLimits message;
};

/** @brief What happened on a connection to a server. */
enum class ServerSignal : std::uint8_t
{
  /** The connection is there; nothing was sent. */
  Connected,
  /** More of an answer was read; it may be complete. */
  Answer,
  /** The connection is lost. */
  Lost,
};

/** @brief Told what happens on a connection to a server. */
using ServerObserver = std::function<void(ServerSignal)>;

/** @brief One connection to a backend server; one request at a time. */
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
  /**
   * @brief Makes a connection that isn't established.
   * @param aContext Context of the loop.
   * @param aAddress IP number and port of the server.
   * @param aBounds Bounds; outlive the connection.
   */
  ServerConnection(boost::asio::io_context& aContext,
                   std::string aAddress,
                   const ServerBounds& aBounds);

  /** @brief Address of the server. */
  [[nodiscard]] const std::string& Address() const noexcept { return mAddress; }

  /**
   * @brief Says who is told; nobody by default.
   * @param aObserver Told what happens; empty for nobody.
   */
  void Attach(ServerObserver aObserver) { mObserver = std::move(aObserver); }

  /** @brief Establishes the connection. */
  void Connect();

  /**
   * @brief Sends a request and reads its answer.
   * @param aBytes The request.
   * @param aHead Whether the answer has no body, as that to `HEAD`.
   */
  void Send(std::string aBytes, bool aHead);

  /** @brief Closes the connection at once. */
  void Close();

  /** @brief The answer being read. */
  [[nodiscard]] wire::Parser& Answer() noexcept { return mParser; }

  /** @brief Reads on behind an answer that belongs to no request. */
  void SkipAnswer();

  /** @brief Whether the connection may carry another request. */
  [[nodiscard]] bool Reusable() const;

  /** @brief How long it may be kept without work. */
  [[nodiscard]] Duration IdleTimeout() const noexcept { return mIdleTimeout; }

  /** @brief Whether it is open. */
  [[nodiscard]] bool Open() const { return mSocket.is_open(); }

  /** @brief Notes that it carries no request now. */
  void Rest();

  /** @brief Since when it carries no request. */
  [[nodiscard]] std::chrono::steady_clock::time_point RestsSince() const
  {
    return mRestsSince;
  }

private:
  static constexpr std::size_t kReadBytes = 16384;

  void OnConnect(const boost::system::error_code& aError);
  void Read();
  void OnRead(const boost::system::error_code& aError, std::size_t aSize);
  void Parse();
  void Lose();
  void Tell(ServerSignal aSignal);

  const ServerBounds& mBounds;
  std::string mAddress;
  Tcp::socket mSocket;
  Timer mTimer;
  wire::Parser mParser;
  ServerObserver mObserver;
  std::array<char, kReadBytes> mBuffer{};
  std::string mUnread;
  std::string mSending;
  std::chrono::steady_clock::time_point mRestsSince;
  Duration mIdleTimeout;
  bool mWriting{ false };
  bool mWaiting{ false };
  bool mHead{ false };
};

} // namespace balsampoint::edge
