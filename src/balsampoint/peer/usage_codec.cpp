#include "balsampoint/peer/usage_codec.hpp"

#include "balsampoint/peer/generated/usage_types.h"
#include "balsampoint/peer/thrift_bytes.hpp"

namespace balsampoint::peer {

namespace {

namespace wire = generated;

std::vector<wire::UsageServer>
ToWire(const std::vector<usage::ServerUsage>& aServers)
{
  std::vector<wire::UsageServer> servers;
  servers.reserve(aServers.size());
  for (const auto& use : aServers) {
    auto& server = servers.emplace_back();
    server.server = use.server.String();
    server.passing = static_cast<std::int32_t>(use.passing);
    server.sent = static_cast<std::int32_t>(use.sent);
    server.kv = static_cast<std::int64_t>(use.kv);
  }
  return servers;
}

std::vector<usage::ServerUsage>
FromWire(const std::vector<wire::UsageServer>& aServers)
{
  std::vector<usage::ServerUsage> servers;
  servers.reserve(aServers.size());
  for (const auto& server : aServers) {
    servers.push_back({ .server = ServerId{ server.server },
                        .passing = static_cast<std::uint32_t>(server.passing),
                        .sent = static_cast<std::uint32_t>(server.sent),
                        .kv = static_cast<double>(server.kv) });
  }
  return servers;
}

tl::expected<usage::Message, Error>
ReadMessage(const wire::UsageMessage& aMessage)
{
  if (aMessage.__isset.own) {
    return usage::LocalUsage{ FromWire(aMessage.own.servers) };
  }
  if (aMessage.__isset.others) {
    return usage::RemoteUsage{ FromWire(aMessage.others.servers),
                               static_cast<std::uint32_t>(
                                 aMessage.others.hosts) };
  }
  return Refuse(ErrorKind::BadRequest, "unknown message about work");
}

} // namespace

ByteVector
Encode(const usage::Message& aMessage)
{
  wire::UsageMessage message;
  if (const auto* own = std::get_if<usage::LocalUsage>(&aMessage)) {
    wire::UsageOwn encoded;
    encoded.servers = ToWire(own->servers);
    message.__set_own(encoded);
  } else {
    const auto& others = std::get<usage::RemoteUsage>(aMessage);
    wire::UsageOthers encoded;
    encoded.servers = ToWire(others.servers);
    encoded.hosts = static_cast<std::int32_t>(others.hosts);
    message.__set_others(encoded);
  }
  return ToBytes(message);
}

tl::expected<usage::Message, Error>
DecodeUsageMessage(ByteView aBytes)
{
  return FromBytes<wire::UsageMessage>(aBytes).and_then(ReadMessage);
}

} // namespace balsampoint::peer
