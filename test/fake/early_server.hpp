#pragma once

#include "balsampoint/core/time.hpp"

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <utility>

namespace balsampoint::fake {

/** @brief How a server ends a connection whose request it has not read. */
enum class Ending : std::uint8_t
{
  /** With a reset. */
  Reset,
  /** By closing it, which makes the kernel reset it. */
  CloseUnread,
  /** Its own side in order, and the connection with a reset. */
  FinThenReset,
  /** Its own side in order; reads the request to its end. */
  Fin,
};

/** @brief A server that answers each request as soon as it has its head. */
class EarlyServer
{
public:
  using Tcp = boost::asio::ip::tcp;
  /** Runs what it is given, which sends the answer and ends the connection. */
  using Runner = std::function<void(const std::function<void()>&)>;

  /** @brief What the server does with each connection. */
  struct Script
  {
    std::string answer;
    Ending ending{ Ending::Reset };
    /** Time between the answer and the end, and before a reset after a FIN. */
    Duration pause{};
    Runner run{ [](const auto& aAnswer) { aAnswer(); } };
  };

  /**
   * @brief Listens at an address of the loopback interface and starts.
   * @param aPort Port; 0 for any.
   * @param aScript What it does.
   */
  EarlyServer(std::uint16_t aPort, Script aScript)
    : mScript{ std::move(aScript) }
  {
    const Tcp::endpoint endpoint{ boost::asio::ip::address_v4::loopback(),
                                  aPort };
    mAcceptor.open(endpoint.protocol());
    mAcceptor.set_option(Tcp::acceptor::reuse_address{ true });
    // An upload doesn't fit into the buffers of the kernel.
    mAcceptor.set_option(Tcp::socket::receive_buffer_size{ 32768 });
    mAcceptor.bind(endpoint);
    mAcceptor.listen();
    mThread = std::thread{ [this] { Serve(); } };
  }

  EarlyServer(const EarlyServer&) = delete;
  EarlyServer& operator=(const EarlyServer&) = delete;
  EarlyServer(EarlyServer&&) = delete;
  EarlyServer& operator=(EarlyServer&&) = delete;

  ~EarlyServer()
  {
    mStopping = true;
    boost::asio::io_context context;
    Tcp::socket socket{ context };
    boost::system::error_code ignored;
    socket.connect(mAcceptor.local_endpoint(), ignored);
    mThread.join();
  }

  /** @brief IP address and port. */
  [[nodiscard]] std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }

  /** @brief Number of requests received. */
  [[nodiscard]] int Received() const { return mReceived; }

private:
  void Serve()
  {
    while (true) {
      boost::system::error_code error;
      auto socket = mAcceptor.accept(error);
      if (mStopping) {
        return;
      }
      std::string request;
      boost::asio::read_until(
        socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", error);
      if (error) {
        continue;
      }
      ++mReceived;
      mScript.run([&] { Answer(socket); });
      if (socket.is_open()) {
        ReadToEnd(socket);
      }
    }
  }

  void Answer(Tcp::socket& aSocket)
  {
    boost::system::error_code ignored;
    boost::asio::write(aSocket, boost::asio::buffer(mScript.answer), ignored);
    std::this_thread::sleep_for(mScript.pause);
    const auto ending = mScript.ending;
    if (ending == Ending::FinThenReset || ending == Ending::Fin) {
      aSocket.shutdown(Tcp::socket::shutdown_send, ignored);
      std::this_thread::sleep_for(mScript.pause);
    }
    if (ending == Ending::Reset || ending == Ending::FinThenReset) {
      aSocket.set_option(boost::asio::socket_base::linger{ true, 0 }, ignored);
    }
    if (ending != Ending::Fin) {
      aSocket.close(ignored);
    }
  }

  static void ReadToEnd(Tcp::socket& aSocket)
  {
    boost::system::error_code error;
    std::array<char, 65536> buffer{};
    while (!error) {
      aSocket.read_some(boost::asio::buffer(buffer), error);
    }
  }

  Script mScript;
  boost::asio::io_context mContext;
  Tcp::acceptor mAcceptor{ mContext };
  std::atomic<bool> mStopping{ false };
  std::atomic<int> mReceived{ 0 };
  std::thread mThread;
};

} // namespace balsampoint::fake
