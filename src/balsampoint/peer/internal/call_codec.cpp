#include "balsampoint/peer/internal/call_codec.hpp"

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace balsampoint::peer::internal {

namespace {

namespace thrift = apache::thrift;
using Buffer = thrift::transport::TMemoryBuffer;

} // namespace

std::string
EncodeCall(const generated::Frame& aFrame)
{
  const auto buffer = std::make_shared<Buffer>();
  generated::PeerClient client{
    std::make_shared<thrift::protocol::TCompactProtocol>(
      std::make_shared<thrift::transport::TFramedTransport>(buffer))
  };
  client.Deliver(aFrame);
  return buffer->getBufferAsString();
}

std::optional<std::uint32_t>
ReadLength(std::string_view aBytes)
{
  constexpr unsigned kBitsPerByte = 8;
  if (aBytes.size() < kLengthBytes) {
    return std::nullopt;
  }
  std::uint32_t length = 0;
  for (const char byte : aBytes.substr(0, kLengthBytes)) {
    length = length << kBitsPerByte | static_cast<unsigned char>(byte);
  }
  return length;
}

tl::expected<void, Error>
DecodeCall(std::string_view aCall, generated::PeerIf& aService)
{
  std::string copy{ aCall };
  const auto limits =
    std::make_shared<thrift::TConfiguration>(kMaxCallBytes, kMaxCallBytes);
  const auto input = std::make_shared<Buffer>(
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    reinterpret_cast<std::uint8_t*>(copy.data()),
    static_cast<std::uint32_t>(copy.size()),
    Buffer::OBSERVE,
    limits);
  const auto protocol =
    std::make_shared<thrift::protocol::TCompactProtocol>(input);
  try {
    // The processor wants a shared pointer to a service that outlives it.
    const std::shared_ptr<generated::PeerIf> service{ std::shared_ptr<void>{},
                                                      &aService };
    generated::PeerProcessor{ service }.process(protocol, protocol, nullptr);
  } catch (const std::exception& failure) {
    return Refuse(ErrorKind::BadRequest, failure.what());
  }
  return {};
}

} // namespace balsampoint::peer::internal
