#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/edge/caller_connection.hpp"
#include "balsampoint/eviction/command/track_wait.hpp"
#include "balsampoint/eviction/query/find_evictable.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>
#include <spdlog/spdlog.h>
#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace balsampoint::edge {

/**
 * @brief Accepts connections of callers on one address.
 * @tparam Owner Handles the requests; has the members that
 * `BasicCallerConnection` needs, except `OnHeadAwaited`, `OnHeadRead` and
 * `OnClosed`, which the acceptor has.
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
   * @param aMaxConnections Maximum number of open connections. For a further
   * one, a connection that waits for the head of a request is closed; if there
   * is none, the further one is reset.
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

  void OnHeadAwaited(const Pointer& aConnection)
  {
    eviction::BeginWait(mWaiting, aConnection);
  }

  void OnHeadRead(const Pointer& aConnection)
  {
    eviction::EndWait(mWaiting, aConnection);
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
    eviction::EndWait(mWaiting, aConnection);
    mOwner.OnInvalidRequest(aConnection, aError);
  }

  void OnClosed(const Pointer& aConnection)
  {
    eviction::EndWait(mWaiting, aConnection);
    mConnections.erase(aConnection);
  }

  [[nodiscard]] const CallerConnectionLimits& Limits() const
  {
    return mOwner.Limits();
  }

private:
  static constexpr int kBacklog = 1024;
  /** Least time between two reports of the limit of connections. */
  static constexpr Duration kReportInterval = std::chrono::seconds{ 1 };
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
    if (mConnections.size() >= mMaxConnections && !EvictConnection()) {
      ++mRefused;
      net::ResetConnection(aSocket);
      return;
    }
    auto connection =
      std::make_shared<Connection>(*this, mContext, std::move(aSocket));
    mConnections.insert(connection);
    connection->Start();
  }

  /** Closes a connection that waits for the head of a request; false if none
   * does. */
  bool EvictConnection()
  {
    if (!mReporting) {
      mReporting = true;
      mReportTimer.Set(kReportInterval, [this] { Report(); });
    }
    const auto connection = eviction::FindEvictable(mWaiting);
    if (!connection) {
      return false;
    }
    ++mEvicted;
    (*connection)->Close(false);
    return true;
  }

  /** Logs what the limit of connections has caused since the last time. */
  void Report()
  {
    mReporting = false;
    spdlog::warn("{} connections are open: {} without a request were closed "
                 "for new ones, {} new ones were refused",
                 mConnections.size(),
                 std::exchange(mEvicted, 0),
                 std::exchange(mRefused, 0));
  }

  Owner& mOwner;
  boost::asio::io_context& mContext;
  net::Tcp::acceptor mAcceptor;
  net::Timer mAcceptRetryTimer{ mContext };
  std::size_t mMaxConnections;
  std::set<Pointer> mConnections;
  eviction::State<Pointer> mWaiting;
  net::Timer mReportTimer{ mContext };
  bool mReporting{ false };
  std::size_t mEvicted{};
  std::size_t mRefused{};
};

} // namespace balsampoint::edge
