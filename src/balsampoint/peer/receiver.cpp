#include "balsampoint/peer/receiver.hpp"

#include "balsampoint/peer/generated/Peer.h"

#include <Poco/Net/SocketAddress.h>
#include <future>
#include <spdlog/spdlog.h>
#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>
#include <utility>

namespace balsampoint::peer {

namespace {

namespace thrift = apache::thrift;

constexpr int kMaxMessageBytes = 16 * 1024 * 1024;
constexpr std::int64_t kMaxConnections = 1024;

/** @brief Makes framed transports that refuse oversized messages. */
class FramedFactory : public thrift::transport::TTransportFactory
{
public:
  std::shared_ptr<thrift::transport::TTransport> getTransport(
    std::shared_ptr<thrift::transport::TTransport> aTransport) override
  {
    const auto limits = std::make_shared<thrift::TConfiguration>(
      kMaxMessageBytes, kMaxMessageBytes);
    return std::make_shared<thrift::transport::TFramedTransport>(aTransport,
                                                                 limits);
  }
};

} // namespace

/** @brief Reports that the server listens. */
class ListenSignal : public thrift::server::TServerEventHandler
{
public:
  explicit ListenSignal(std::promise<std::string>& aListening)
    : mListening{ aListening }
  {
  }

  void preServe() override { mListening.set_value({}); }

private:
  std::promise<std::string>& mListening;
};

/** @brief Serves until stopped; reports a failure to listen. */
void
Serve(thrift::server::TServer& aServer, std::promise<std::string>& aListening)
{
  aServer.setServerEventHandler(std::make_shared<ListenSignal>(aListening));
  try {
    aServer.serve();
  } catch (const thrift::TException& failure) {
    aListening.set_value(failure.what());
  }
}

/** @brief Opens each frame and passes its content to the handler. */
class Receiver::Service : public generated::PeerIf
{
public:
  explicit Service(Receiver& aReceiver)
    : mReceiver{ aReceiver }
  {
  }

  void Deliver(const generated::Frame& aFrame) override
  {
    auto parcel = mReceiver.mAuthenticator.Open(aFrame);
    if (!parcel) {
      ++mReceiver.mRefused;
      spdlog::warn(
        "peer '{}' refused: {}", aFrame.sender, parcel.error().detail);
      return;
    }
    mReceiver.mHandler(std::move(*parcel));
  }

private:
  Receiver& mReceiver;
};

Receiver::Receiver(Identity aIdentity, Handler aHandler)
  : mAuthenticator{ std::move(aIdentity) }
  , mHandler{ std::move(aHandler) }
{
}

tl::expected<std::unique_ptr<Receiver>, Error>
Receiver::Listen(const std::string& aAddress,
                 Identity aIdentity,
                 Handler aHandler)
{
  std::unique_ptr<Receiver> receiver{ new Receiver{ std::move(aIdentity),
                                                    std::move(aHandler) } };
  const Poco::Net::SocketAddress address{ aAddress };
  auto socket = std::make_shared<thrift::transport::TServerSocket>(
    address.host().toString(), address.port());
  auto server = std::make_shared<thrift::server::TThreadedServer>(
    std::make_shared<generated::PeerProcessor>(
      std::make_shared<Service>(*receiver)),
    socket,
    std::make_shared<FramedFactory>(),
    std::make_shared<thrift::protocol::TCompactProtocolFactory>());
  server->setConcurrentClientLimit(kMaxConnections);
  receiver->mServer = server;
  std::promise<std::string> listening;
  receiver->mThread =
    std::thread{ [server, &listening] { Serve(*server, listening); } };
  const auto failure = listening.get_future().get();
  if (!failure.empty()) {
    return Refuse(ErrorKind::Internal, aAddress + ": " + failure);
  }
  return receiver;
}

Receiver::~Receiver()
{
  if (mServer) {
    mServer->stop();
  }
  if (mThread.joinable()) {
    mThread.join();
  }
}

} // namespace balsampoint::peer
