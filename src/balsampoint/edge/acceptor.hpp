#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/edge/caller_connection.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>
#include <spdlog/spdlog.h>
#include <string>
#include <tl/expected.hpp>

namespace balsampoint::edge {

/**
 * @brief Accepts connections of callers on one address.
 * @tparam Owner Handles the requests; has the members that
 * `BasicCallerConnection` needs, except `OnClosed`, which the acceptor has.
 */
template<typename Owner>
class BasicAcceptor
{
public:
  using Connection = BasicCallerConnection<BasicAcceptor>;
  using Pointer = std::shared_ptr<Connection>;

  /**
   * @brief Makes an acceptor that does not listen yet.
   * @param aOwner Handles the requests; outlives the acceptor.
   * @param aContext I/O context of the loop.
   * @param aMaxConnections Maximum number of open connections; further ones are
   * reset.
   */
  BasicAcceptor(Owner& aOwner,
                boost::asio::io_context& aContext,
                std::size_t aMaxConnections)
    : mOwner{ aOwner }
    , mContext{ aContext }
    , mAcceptor{ aContext }
    , mMaxConnections{ aMaxConnections }
  {
  }

  /**
   * @brief Binds the address and starts to accept connections.
   * @param aAddress IP address and port.
   * @return Nothing, `ErrorKind::BadRequest` if the address can't be parsed, or
   * `ErrorKind::Internal` if it can't be bound.
   */
  tl::expected<void, Error> Listen(const std::string& aAddress)
  {
    return net::Listen(mAcceptor, aAddress, kBacklog).map([this] {
      if (const auto* memory = mOwner.Limits().memory) {
        net::LimitBuffers(mAcceptor, memory->SocketBytes());
      }
      Accept();
    });
  }

  /** @brief Closes the listening socket; open connections stay open. */
  void StopAccepting()
  {
    boost::system::error_code ignored;
    mAcceptor.close(ignored);
  }

  /** @brief Closes the connections without a request in progress. */
  void CloseIdle()
  {
    const auto connections = mConnections;
    for (const auto& connection : connections) {
      connection->CloseIfIdle();
    }
  }

  /** @brief Number of open connections. */
  [[nodiscard]] std::size_t ConnectionCount() const noexcept
  {
    return mConnections.size();
  }

  void OnRequest(const Pointer& aConnection, IncomingRequest aRequest)
  {
    mOwner.OnRequest(aConnection, std::move(aRequest));
  }

  void OnCallerDisconnected(const Pointer& aConnection)
  {
    mOwner.OnCallerDisconnected(aConnection);
  }

  void OnInvalidRequest(const Pointer& aConnection, const Error& aError)
  {
    mOwner.OnInvalidRequest(aConnection, aError);
  }

  void OnClosed(const Pointer& aConnection) { mConnections.erase(aConnection); }

  [[nodiscard]] const CallerConnectionLimits& Limits() const
  {
    return mOwner.Limits();
  }

private:
  static constexpr int kBacklog = 1024;
  /** Delay before the next accept after one has failed. */
  static constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds{ 20 };

  void Accept()
  {
    mAcceptor.async_accept(
      [this](const auto& aError, net::Tcp::socket aSocket) {
        if (aError == boost::asio::error::operation_aborted ||
            !mAcceptor.is_open()) {
          return;
        }
        if (aError) {
          spdlog::warn("accepting a connection failed: {}", aError.message());
          mAcceptRetryTimer.Set(kAcceptRetryDelay, [this] { Accept(); });
          return;
        }
        AddConnection(std::move(aSocket));
        Accept();
      });
  }

  void AddConnection(net::Tcp::socket aSocket)
  {
    if (mConnections.size() >= mMaxConnections) {
      net::ResetConnection(aSocket);
      return;
    }
    auto connection =
      std::make_shared<Connection>(*this, mContext, std::move(aSocket));
    mConnections.insert(connection);
    connection->Start();
  }

  Owner& mOwner;
  boost::asio::io_context& mContext;
  net::Tcp::acceptor mAcceptor;
  net::Timer mAcceptRetryTimer{ mContext };
  std::size_t mMaxConnections;
  std::set<Pointer> mConnections;
};

} // namespace balsampoint::edge
