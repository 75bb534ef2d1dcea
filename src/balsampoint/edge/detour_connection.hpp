#pragma once

#include "balsampoint/edge/detour_stream.hpp"
#include "balsampoint/edge/memory_account.hpp"
#include "balsampoint/net/loop.hpp"
#include "balsampoint/net/socket.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace balsampoint::edge {

class DetourPort;

/** @brief Passes bytes between a host that can't reach a server, and the
 * server. */
class DetourConnection : public std::enable_shared_from_this<DetourConnection>
{
public:
  /**
   * @brief Takes over an accepted socket.
   * @param aPort Decides about the connection; outlives it.
   * @param aContext I/O context of the loop.
   * @param aSocket Connection of the other host.
   */
  DetourConnection(DetourPort& aPort,
                   boost::asio::io_context& aContext,
                   net::Tcp::socket aSocket);

  /** @brief Starts to read what the other host asks for. */
  void Start();

  /** @brief Closes the connection if the last bytes came from the server, as at
   * the end of an answer, and none have come for a while. */
  void CloseIfQuiet();

private:
  static constexpr std::size_t kReadBytes = 16384;
  using Buffer = std::array<char, kReadBytes>;

  /** @brief How far the end of the server's bytes has come. */
  enum class ServerEnd : std::uint8_t
  {
    None,
    /** Read from the server. */
    Seen,
    /** Passed to the other host. */
    Passed,
  };

  /** @brief Writes to one side; reading from the other one waits for it. */
  void WriteToHost(std::string aBytes, bool aIsLast);
  void WriteToServer(std::string aBytes);
  void ReadHost();
  void ReadServer();
  void OnHostBytes(std::string_view aBytes);
  void OnServerBytes(std::string_view aBytes);
  void OnServerEnd(const boost::system::error_code& aError);
  /** Passes the end of the server's bytes on, unless a write to it failed. */
  void PassServerEnd();
  void Connect();
  void OnConnect(const boost::system::error_code& aError);
  void Refuse(DetourStatus aStatus);
  void Close(bool aReset);
  /** Tells the account what the connection holds. It can't grow: each side is
   * read only after the bytes for the other one were written. */
  void RecordMemory(std::size_t aMoved);

  DetourPort& mPort;
  net::Tcp::socket mHost;
  net::Tcp::socket mServer;
  net::Timer mTimer;
  wire::Parser mParser;
  Buffer mHostBuffer{};
  Buffer mServerBuffer{};
  MemoryShare mShare;
  std::string mToHost;
  std::string mToServer;
  std::string mServerAddress;
  std::chrono::steady_clock::time_point mLastServerBytes;
  ServerEnd mServerEnd{ ServerEnd::None };
  bool mWriteFailed{ false };
  bool mOpen{ false };
  bool mClosed{ false };
  /** Whether the last bytes came from the server. */
  bool mAnswered{ false };
};

} // namespace balsampoint::edge
