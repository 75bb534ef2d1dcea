#pragma once

#include "balsampoint/edge/detour_path.hpp"
#include "balsampoint/edge/detour_stream.hpp"
#include "balsampoint/edge/memory_account.hpp"
#include "balsampoint/net/loop.hpp"
#include "balsampoint/net/socket.hpp"
#include "balsampoint/reach/connection_evidence.hpp"
#include "balsampoint/wire/parser.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace balsampoint::edge {

/** @brief Limits of a connection to a backend server. */
struct ServerConnectionLimits
{
  /** Longest time for the TCP connect. */
  Duration connectTimeout{ std::chrono::milliseconds{ 250 } };
  /** Time that sent bytes may stay unacknowledged. */
  Duration ackTimeout{ std::chrono::seconds{ 2 } };
  /** A response is held in memory until it or its next event is complete. */
  wire::MessageLimits message{ .bodyBytes = std::uint64_t{ 8 } * 1024 * 1024 };
  /** Account of the bytes that connections hold; null for none. */
  MemoryAccount* memory{ nullptr };
};

/** @brief A request in the encoding of its server. */
struct EncodedRequest
{
  std::string bytes;
  /** Whether it is a `HEAD` request, whose response has no body. */
  bool isHead{ false };
  /** Whether it has a body, which a server may refuse unread. */
  bool hasBody{ false };
};

/** @brief Event on a connection to a server. */
enum class ServerSignal : std::uint8_t
{
  /** The connection is established; nothing was sent yet. */
  Connected,
  /** Another part of the response was read; it may be complete. */
  ResponseData,
  /** The connection could not be established, broke or timed out. */
  Lost,
};

/** @brief Callback for the events of a connection to a server. */
using ServerObserver = std::function<void(ServerSignal)>;

/** @brief Connection to a backend server that carries one request. */
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
  /**
   * @brief Makes a connection that is not established yet.
   * @param aContext I/O context of the loop.
   * @param aAddress IP address and port of the server.
   * @param aLimits Limits; outlive the connection.
   * @param aDetour Host that opens the connection; absent for this one.
   */
  ServerConnection(boost::asio::io_context& aContext,
                   std::string aAddress,
                   const ServerConnectionLimits& aLimits,
                   std::optional<DetourPath> aDetour = {});

  /** @brief Address of the server. */
  [[nodiscard]] const std::string& Address() const noexcept { return mAddress; }

  /**
   * @brief Sets the observer; there is none by default.
   * @param aObserver Called for each event; empty for none.
   */
  void SetObserver(ServerObserver aObserver)
  {
    mObserver = std::move(aObserver);
  }

  /** @brief Starts to connect; the observer is notified of the result. */
  void Connect();

  /**
   * @brief Sends the request of the connection and starts to read its response.
   * @param aRequest The request.
   */
  void Send(EncodedRequest aRequest);

  /** @brief Closes the connection without notifying the observer. */
  void Close();

  /** @brief Parser of the response in progress. */
  [[nodiscard]] wire::Parser& ResponseParser() noexcept { return mParser; }

  /** @brief Bytes that were received behind the response. */
  [[nodiscard]] std::string_view UnreadBytes() const noexcept
  {
    return mUnparsed;
  }

  /** @brief Discards a complete response, which is interim or belongs to
   * another request, and reads the next one. */
  void SkipResponse();

  /** @brief Whether the connection was established and has not ended. */
  [[nodiscard]] bool Established() const
  {
    return mEstablished && mSocket.is_open();
  }

  /** @brief Whether the socket is open. */
  [[nodiscard]] bool Open() const { return mSocket.is_open(); }

  /** @brief Whether another host opens the connection. */
  [[nodiscard]] bool HasDetour() const noexcept { return mDetour.has_value(); }

  /** @brief Whether the connection was not established for a reason of the host
   * that was to open it, which says nothing of the server. */
  [[nodiscard]] bool DetourFailed() const noexcept { return mDetourFailed; }

  /** @brief When bytes of the server were last read. */
  [[nodiscard]] Instant LastReadAt() const noexcept { return mLastReadAt; }

  /** @brief What the kernel knows of the bytes sent; nothing if it doesn't
   * tell, or if another host opens the connection. */
  [[nodiscard]] std::optional<net::AckState> Acknowledgement();

  /**
   * @brief What the request in progress shows of the link of this host.
   * @param aAskKernel Whether to ask for acknowledgements while nothing of the
   * answer has arrived; it takes a system call.
   * @return Nothing if there is no request, or if another host opens the
   * connection.
   */
  [[nodiscard]] std::optional<reach::ConnectionEvidence> Evidence(
    bool aAskKernel);

private:
  static constexpr std::size_t kReadBytes = 16384;

  void OnConnect(const boost::system::error_code& aError);
  void OnEstablished();
  void AskDetour(const DetourPath& aDetour);
  void Read();
  void OnRead(const boost::system::error_code& aError, std::size_t aSize);
  /** Adds the connection to the account. */
  void OpenShare();
  /** Tells the account what the connection holds. */
  void RecordMemory(std::size_t aMoved);
  /** Whether the host on the way has opened the connection; closes it
   * otherwise, unless the answer is incomplete. */
  bool IsOpenedByDetour();
  void OnDetourRead(std::string_view aBytes);
  void OnServerBytes(std::string_view aBytes);
  /** Decides whether the end of the stream ends the response. One without a
   * length is whole only if the server takes in the whole request. */
  void OnStreamEnd();
  void OnServerEnd();
  /** Ends the response where the connection broke: lost, unless it refuses the
   * body of the request. */
  void OnServerReset();
  /** Notifies the observer of a response that the end of the connection has
   * completed, or closes the connection as lost. */
  void EndResponse();
  void Parse();
  void CloseAsLost();
  void Notify(ServerSignal aSignal);

  const ServerConnectionLimits& mLimits;
  std::string mAddress;
  std::optional<DetourPath> mDetour;
  DetourStream mDetourStream;
  net::Tcp::socket mSocket;
  net::Timer mTimer;
  wire::Parser mParser;
  ServerObserver mObserver;
  MemoryShare mShare;
  std::array<char, kReadBytes> mBuffer{};
  std::string mUnparsed;
  std::string mSending;
  std::string mDetourRequest;
  /** Error of the write of the request. */
  boost::system::error_code mWriteError;
  Instant mSentAt{ Instant::min() };
  Instant mLastReadAt{ Instant::min() };
  bool mEstablished{ false };
  bool mDetourFailed{ false };
  bool mWriting{ false };
  bool mReading{ false };
  /** Whether the response waits for the end of the write to be whole. */
  bool mStreamEnded{ false };
  bool mAwaitingResponse{ false };
  bool mIsHeadRequest{ false };
  bool mHasRequestBody{ false };
};

} // namespace balsampoint::edge
