#include "balsampoint/edge/detour_connection.hpp"

#include "balsampoint/edge/detour_port.hpp"
#include "balsampoint/wire/write.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <limits>
#include <optional>
#include <utility>

namespace balsampoint::edge {

namespace {

constexpr std::size_t kMaxHeadBytes = 2048;
/** Longest time for the request of the other host, and for the connect. */
constexpr Duration kOpenTimeout = std::chrono::milliseconds{ 250 };
/** Time that sent bytes may stay unacknowledged. */
constexpr Duration kAckTimeout = std::chrono::seconds{ 2 };
/** Longer than streams are expected to pause. */
constexpr Duration kQuietTime = std::chrono::milliseconds{ 500 };

} // namespace

DetourConnection::DetourConnection(DetourPort& aPort,
                                   boost::asio::io_context& aContext,
                                   net::Tcp::socket aSocket)
  : mPort{ aPort }
  , mHost{ std::move(aSocket) }
  , mServer{ aContext }
  , mTimer{ aContext }
  , mParser{ wire::MessageKind::Request,
             { .headBytes = kMaxHeadBytes,
               .bodyBytes = std::numeric_limits<std::uint64_t>::max() } }
{
  net::ConfigureSocket(mHost, kAckTimeout);
}

void
DetourConnection::Start()
{
  mTimer.Set(kOpenTimeout, [self = weak_from_this()] {
    if (const auto connection = self.lock()) {
      connection->Close(true);
    }
  });
  mShare = MemoryShare{ mPort.Memory(),
                        { .resume = [] {},
                          .release =
                            [self = weak_from_this()](memory::Relief) {
                              if (const auto connection = self.lock()) {
                                connection->Close(true);
                              }
                            } } };
  ReadHost();
}

void
DetourConnection::RecordMemory(std::size_t aMoved)
{
  mShare.Record({ .work = memory::Work::Running,
                  .bytes = mToHost.capacity() + mToServer.capacity(),
                  .moved = aMoved });
}

void
DetourConnection::CloseIfQuiet()
{
  if (mOpen && mAnswered &&
      std::chrono::steady_clock::now() - mLastServerBytes >= kQuietTime) {
    Close(true);
  }
}

void
DetourConnection::ReadHost()
{
  mHost.async_read_some(
    boost::asio::buffer(mHostBuffer),
    [self = shared_from_this()](const auto& aError, std::size_t aSize) {
      if (self->mClosed) {
        return;
      }
      if (aError) {
        // The server is to see at once that nobody waits for its answer.
        self->Close(true);
        return;
      }
      self->OnHostBytes({ self->mHostBuffer.data(), aSize });
    });
}

void
DetourConnection::OnHostBytes(std::string_view aBytes)
{
  static_cast<void>(mParser.Read(aBytes));
  if (mParser.Error() != wire::ParseError::None || mParser.Complete()) {
    Close(true);
    return;
  }
  if (!mParser.HasHead()) {
    ReadHost();
    return;
  }
  if (mOpen) {
    WriteToServer(mParser.TakeBody());
    return;
  }
  const auto request = ReadDetourRequest(mParser.Request());
  if (!request) {
    Refuse(DetourStatus::Unauthorized);
    return;
  }
  if (const auto status = mPort.Admit(*request); status != DetourStatus::Open) {
    Refuse(status);
    return;
  }
  mServerAddress = request->server;
  Connect();
}

void
DetourConnection::Connect()
{
  const auto endpoint = net::ParseAddress(mServerAddress);
  boost::system::error_code error;
  if (endpoint) {
    mServer.open(endpoint->protocol(), error);
  }
  if (!endpoint || error) {
    Refuse(DetourStatus::Unavailable);
    return;
  }
  net::ConfigureSocket(mServer, kAckTimeout);
  if (const auto* memory = mPort.Memory()) {
    net::LimitBuffers(mServer, memory->SocketBytes());
  }
  mTimer.Set(kOpenTimeout, [self = weak_from_this()] {
    if (const auto connection = self.lock()) {
      boost::system::error_code ignored;
      connection->mServer.cancel(ignored);
    }
  });
  mServer.async_connect(*endpoint,
                        [self = shared_from_this()](const auto& aError) {
                          self->OnConnect(aError);
                        });
}

void
DetourConnection::OnConnect(const boost::system::error_code& aError)
{
  if (mClosed) {
    return;
  }
  mTimer.Clear();
  if (aError) {
    mPort.AskWhyFailed([self = shared_from_this()](DetourStatus aStatus) {
      self->Refuse(aStatus);
    });
    return;
  }
  mOpen = true;
  mLastServerBytes = std::chrono::steady_clock::now();
  WriteToHost(WriteDetourAnswer(DetourStatus::Open), false);
  ReadHost();
}

void
DetourConnection::Refuse(DetourStatus aStatus)
{
  if (!mClosed) {
    mTimer.Clear();
    WriteToHost(WriteDetourAnswer(aStatus), true);
  }
}

void
DetourConnection::WriteToHost(std::string aBytes, bool aIsLast)
{
  mToHost = std::move(aBytes);
  RecordMemory(mToHost.size());
  boost::asio::async_write(
    mHost,
    boost::asio::buffer(mToHost),
    [self = shared_from_this(), aIsLast](const auto& aError, std::size_t) {
      if (self->mClosed) {
        return;
      }
      if (aError || aIsLast) {
        self->Close(static_cast<bool>(aError));
        return;
      }
      if (self->mServerEnd == ServerEnd::None) {
        self->ReadServer();
      }
    });
}

void
DetourConnection::WriteToServer(std::string aBytes)
{
  if (aBytes.empty()) {
    ReadHost();
    return;
  }
  mAnswered = false;
  mToServer = std::move(aBytes);
  RecordMemory(mToServer.size());
  boost::asio::async_write(
    mServer,
    boost::asio::buffer(mToServer),
    [self = shared_from_this()](const auto& aError, std::size_t) {
      self->mToServer.clear();
      self->mWriteFailed = self->mWriteFailed || aError;
      if (self->mClosed) {
        return;
      }
      if (aError && self->mServerEnd == ServerEnd::Passed) {
        self->Close(true);
        return;
      }
      if (self->mServerEnd == ServerEnd::Seen) {
        self->PassServerEnd();
      }
      // An answer may have arrived before the write failed; reading from the
      // server shows what became of the connection.
      if (!self->mClosed) {
        self->ReadHost();
      }
    });
}

void
DetourConnection::ReadServer()
{
  mServer.async_read_some(
    boost::asio::buffer(mServerBuffer),
    [self = shared_from_this()](const auto& aError, std::size_t aSize) {
      if (self->mClosed) {
        return;
      }
      if (aError) {
        self->OnServerEnd(aError);
        return;
      }
      self->OnServerBytes({ self->mServerBuffer.data(), aSize });
    });
}

void
DetourConnection::OnServerBytes(std::string_view aBytes)
{
  mAnswered = true;
  mLastServerBytes = std::chrono::steady_clock::now();
  std::string chunk;
  wire::AppendChunk(chunk, aBytes);
  WriteToHost(std::move(chunk), false);
}

void
DetourConnection::OnServerEnd(const boost::system::error_code& aError)
{
  if (aError != boost::asio::error::eof) {
    Close(true);
    return;
  }
  mServerEnd = ServerEnd::Seen;
  // A write that is blocked, or has failed with its handler still queued,
  // decides.
  if (mToServer.empty()) {
    PassServerEnd();
  }
}

void
DetourConnection::PassServerEnd()
{
  // Without the last chunk the other host sees that the answer is incomplete.
  if (mWriteFailed) {
    Close(true);
    return;
  }
  // The server may take in the rest of the request behind its answer.
  mServerEnd = ServerEnd::Passed;
  WriteToHost(std::string{ wire::kLastChunk }, false);
}

void
DetourConnection::Close(bool aReset)
{
  if (std::exchange(mClosed, true)) {
    return;
  }
  mTimer.Clear();
  mShare.Release();
  boost::system::error_code ignored;
  mServer.close(ignored);
  if (aReset) {
    net::ResetConnection(mHost);
  } else {
    mHost.shutdown(net::Tcp::socket::shutdown_send, ignored);
    mHost.close(ignored);
  }
  mPort.OnClosed(shared_from_this());
}

} // namespace balsampoint::edge
