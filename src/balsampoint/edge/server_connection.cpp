#include "balsampoint/edge/server_connection.hpp"

#include "balsampoint/edge/exchange_log.hpp"
#include "balsampoint/runtime/steady_clock.hpp"
#include "balsampoint/wire/write.hpp"

#include <optional>

namespace balsampoint::edge {

namespace {

/** Time in which a host on the way connects to the server, or finds out why it
 * can't. */
constexpr Duration kDetourTime = std::chrono::milliseconds{ 450 };

} // namespace

ServerConnection::ServerConnection(boost::asio::io_context& aContext,
                                   std::string aAddress,
                                   const ServerConnectionLimits& aLimits,
                                   std::optional<DetourPath> aDetour)
  : mLimits{ aLimits }
  , mAddress{ std::move(aAddress) }
  , mDetour{ std::move(aDetour) }
  , mSocket{ aContext }
  , mTimer{ aContext }
  , mParser{ wire::MessageKind::Response, aLimits.message }
{
}

void
ServerConnection::Connect()
{
  const auto endpoint =
    net::ParseAddress(mDetour ? mDetour->address : mAddress);
  boost::system::error_code error;
  if (endpoint) {
    mSocket.open(endpoint->protocol(), error);
  }
  if (!endpoint || error) {
    boost::asio::post(mSocket.get_executor(),
                      [self = shared_from_this()] { self->CloseAsLost(); });
    return;
  }
  net::ConfigureSocket(mSocket, mLimits.ackTimeout);
  OpenShare();
  const auto timeout =
    mLimits.connectTimeout + (mDetour ? kDetourTime : Duration{});
  mTimer.Set(timeout, [self = weak_from_this()] {
    if (const auto connection = self.lock()) {
      connection->CloseAsLost();
    }
  });
  mSocket.async_connect(*endpoint,
                        [self = shared_from_this()](const auto& aError) {
                          self->OnConnect(aError);
                        });
}

void
ServerConnection::OnConnect(const boost::system::error_code& aError)
{
  if (!mSocket.is_open()) {
    return;
  }
  if (aError) {
    CloseAsLost();
    return;
  }
  if (mDetour) {
    AskDetour(*mDetour);
    Read();
    return;
  }
  Read();
  OnEstablished();
}

void
ServerConnection::OnEstablished()
{
  mTimer.Clear();
  mEstablished = true;
  Notify(ServerSignal::Connected);
}

void
ServerConnection::AskDetour(const DetourPath& aDetour)
{
  mDetourRequest = WriteDetourRequest(mAddress, aDetour.token);
  // A failed write shows as a failed read.
  boost::asio::async_write(
    mSocket,
    boost::asio::buffer(mDetourRequest),
    [self = shared_from_this()](const auto& /*aError*/, std::size_t) {});
}

void
ServerConnection::Send(EncodedRequest aRequest)
{
  mIsHeadRequest = aRequest.isHead;
  mHasRequestBody = aRequest.hasBody;
  mParser.Restart();
  if (mIsHeadRequest) {
    mParser.ExpectNoBody();
  }
  mAwaitingResponse = true;
  mSentAt = runtime::SteadyClock::Now();
  mWriting = true;
  mSending = std::move(aRequest.bytes);
  if (mDetour) {
    const auto bytes = std::exchange(mSending, {});
    wire::AppendChunk(mSending, bytes);
  }
  RecordMemory(0);
  boost::asio::async_write(
    mSocket,
    boost::asio::buffer(mSending),
    [self = shared_from_this()](const auto& aError, std::size_t) {
      self->mWriting = false;
      std::string{}.swap(self->mSending);
      self->mWriteError = aError;
      self->RecordMemory(0);
      // A response may have arrived before the write failed, so it is read to
      // its end. The shutdown ends the read if the connection is still open.
      if (aError && self->mSocket.is_open()) {
        boost::system::error_code ignored;
        self->mSocket.shutdown(net::Tcp::socket::shutdown_receive, ignored);
      }
      if (self->mStreamEnded) {
        self->OnStreamEnd();
      }
    });
}

void
ServerConnection::Close()
{
  mObserver = nullptr;
  mTimer.Clear();
  if (mParser.Complete() && !mUnparsed.empty()) {
    LogUnsolicitedBytes(mAddress, mUnparsed.size());
    mUnparsed.clear();
  }
  mShare.Release();
  boost::system::error_code ignored;
  mSocket.close(ignored);
}

void
ServerConnection::SkipResponse()
{
  mParser.Restart();
  if (mIsHeadRequest) {
    mParser.ExpectNoBody();
  }
  if (!mUnparsed.empty()) {
    Parse();
  }
}

std::optional<net::AckState>
ServerConnection::Acknowledgement()
{
  return mDetour || !Established() ? std::nullopt : net::ReadAckState(mSocket);
}

std::optional<reach::ConnectionEvidence>
ServerConnection::Evidence(bool aAskKernel)
{
  if (mDetour || !Established() || !mAwaitingResponse) {
    return std::nullopt;
  }
  reach::ConnectionEvidence evidence{ .server = mAddress,
                                      .sentAt = mSentAt,
                                      .readAt = mLastReadAt };
  if (aAskKernel && mLastReadAt < mSentAt) {
    const auto state = net::ReadAckState(mSocket).value_or(net::AckState{});
    evidence.unacknowledged = state.unacknowledged;
    evidence.sinceAck = state.sinceAck;
  }
  return evidence;
}

void
ServerConnection::OpenShare()
{
  if (mLimits.memory != nullptr) {
    net::LimitBuffers(mSocket, mLimits.memory->SocketBytes());
  }
  mShare = MemoryShare{ mLimits.memory,
                        { .resume =
                            [self = weak_from_this()] {
                              if (const auto connection = self.lock()) {
                                connection->Read();
                              }
                            },
                          .release =
                            [self = weak_from_this()](memory::Relief) {
                              if (const auto connection = self.lock()) {
                                connection->CloseAsLost();
                              }
                            } } };
}

void
ServerConnection::RecordMemory(std::size_t aMoved)
{
  if (mUnparsed.empty() && mUnparsed.capacity() > kReadBytes) {
    std::string{}.swap(mUnparsed);
  }
  mShare.Record({ .work = memory::Work::Running,
                  .bytes = mUnparsed.capacity() + mSending.capacity() +
                           mParser.HeadCapacity() + mParser.BodyCapacity() +
                           mShare.UnreadBytes(),
                  .moved = aMoved });
}

void
ServerConnection::Read()
{
  // A connection without a response in progress is read to see its end.
  if (mReading || !mSocket.is_open() || mDetourStream.Ended()) {
    return;
  }
  if (mAwaitingResponse && !mShare.MayRead()) {
    RecordMemory(0);
    return;
  }
  mReading = true;
  mSocket.async_read_some(
    boost::asio::buffer(mBuffer),
    [self = shared_from_this()](const auto& aError, std::size_t aSize) {
      self->OnRead(aError, aSize);
    });
}

void
ServerConnection::OnRead(const boost::system::error_code& aError,
                         std::size_t aSize)
{
  const auto self = shared_from_this();
  if (aError == boost::asio::error::eof && !mDetour) {
    // Nothing is read any more. The handler of a write that failed before this
    // read may still be queued.
    boost::asio::post(mSocket.get_executor(), [self] { self->OnStreamEnd(); });
    return;
  }
  mReading = false;
  if (!mSocket.is_open()) {
    return;
  }
  const std::string_view bytes{ mBuffer.data(), aSize };
  if (!aError && mDetour) {
    OnDetourRead(bytes);
  } else if (!aError) {
    OnServerBytes(bytes);
  } else {
    OnServerReset();
    return;
  }
  if (mSocket.is_open() && !mDetourStream.Ended()) {
    RecordMemory(aSize);
    Read();
  }
}

bool
ServerConnection::IsOpenedByDetour()
{
  if (mEstablished) {
    return true;
  }
  const auto answer = mDetourStream.Answer();
  if (mDetourStream.Malformed() || (answer && *answer != DetourStatus::Open)) {
    CloseAsLost();
    return false;
  }
  if (!answer) {
    return false;
  }
  OnEstablished();
  return mSocket.is_open();
}

void
ServerConnection::OnDetourRead(std::string_view aBytes)
{
  const auto bytes = mDetourStream.Read(aBytes);
  if (!IsOpenedByDetour()) {
    return;
  }
  if (!bytes.empty()) {
    OnServerBytes(bytes);
  }
  if (!mSocket.is_open()) {
    return;
  }
  if (mDetourStream.Ended()) {
    OnStreamEnd();
  } else if (mDetourStream.Malformed()) {
    CloseAsLost();
  }
}

void
ServerConnection::OnServerBytes(std::string_view aBytes)
{
  mLastReadAt = runtime::SteadyClock::Now();
  if (!mAwaitingResponse) {
    LogUnsolicitedBytes(mAddress, aBytes.size());
    CloseAsLost();
    return;
  }
  mUnparsed.append(aBytes);
  Parse();
}

void
ServerConnection::OnStreamEnd()
{
  if (!mSocket.is_open()) {
    return;
  }
  const auto& head = mParser.Response();
  const bool refuses = mParser.HasHead() && head.ClientError();
  if (mWriting && mParser.HasHead() && head.endsByClose && !refuses) {
    // A server that ends its side in order still takes in the request.
    mStreamEnded = true;
    return;
  }
  const bool whole = refuses ? net::IsOrderlyEnd(mWriteError) : !mWriteError;
  if (whole) {
    OnServerEnd();
  } else {
    OnServerReset();
  }
}

void
ServerConnection::OnServerEnd()
{
  if (mAwaitingResponse) {
    mParser.ReadEof();
  }
  EndResponse();
}

void
ServerConnection::OnServerReset()
{
  if (mDetour || !mHasRequestBody) {
    CloseAsLost();
    return;
  }
  if (mAwaitingResponse) {
    mParser.ReadReset();
  }
  EndResponse();
}

void
ServerConnection::EndResponse()
{
  if (!mAwaitingResponse || !mParser.Complete()) {
    CloseAsLost();
    return;
  }
  mAwaitingResponse = false;
  Notify(ServerSignal::ResponseData);
}

void
ServerConnection::Parse()
{
  const auto used = mParser.Read(mUnparsed);
  mUnparsed.erase(0, used);
  if (mParser.Error() != wire::ParseError::None) {
    CloseAsLost();
    return;
  }
  Notify(ServerSignal::ResponseData);
}

void
ServerConnection::CloseAsLost()
{
  mTimer.Clear();
  if (mDetour && !mEstablished &&
      mDetourStream.Answer() != DetourStatus::ServerUnreachable) {
    mDetourFailed = true;
    mDetour->onFailure();
  }
  mShare.Release();
  boost::system::error_code ignored;
  mSocket.close(ignored);
  Notify(ServerSignal::Lost);
}

void
ServerConnection::Notify(ServerSignal aSignal)
{
  const auto self = shared_from_this();
  // The copy stays valid if the observer is replaced during the call.
  if (const auto observer = mObserver) {
    observer(aSignal);
  }
}

} // namespace balsampoint::edge
