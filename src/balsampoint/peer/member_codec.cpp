#include "balsampoint/peer/member_codec.hpp"

#include "balsampoint/peer/generated/member_types.h"
#include "balsampoint/peer/thrift_bytes.hpp"

#include <span>
#include <utility>
#include <vector>

namespace balsampoint::peer {

namespace {

namespace wire = generated;

wire::MemberHost
ToWire(const member::Host& aHost)
{
  wire::MemberHost host;
  host.id = aHost.id.String();
  host.zone = aHost.zone.String();
  host.region = aHost.region.String();
  host.address = aHost.address;
  host.incarnation = static_cast<std::int64_t>(aHost.incarnation.Value());
  host.revision = static_cast<std::int64_t>(aHost.revision);
  host.state = static_cast<std::int32_t>(aHost.state);
  return host;
}

std::vector<wire::MemberHost>
ToWire(std::span<const member::Host> aHosts)
{
  std::vector<wire::MemberHost> hosts;
  hosts.reserve(aHosts.size());
  for (const auto& host : aHosts) {
    hosts.push_back(ToWire(host));
  }
  return hosts;
}

/** Throws `Failure` for a state that no host has. */
member::Host
FromWire(const wire::MemberHost& aHost)
{
  constexpr auto kLast = static_cast<std::int32_t>(member::HostState::Left);
  if (aHost.state < 0 || aHost.state > kLast || aHost.id.empty()) {
    throw Failure{ MakeError(ErrorKind::BadRequest, "impossible host") };
  }
  return { .id = HostId{ aHost.id },
           .zone = ZoneId{ aHost.zone },
           .region = RegionId{ aHost.region },
           .address = aHost.address,
           .incarnation =
             Incarnation{ static_cast<std::uint64_t>(aHost.incarnation) },
           .revision = static_cast<std::uint64_t>(aHost.revision),
           .state = static_cast<member::HostState>(aHost.state) };
}

std::vector<member::Host>
FromWire(std::span<const wire::MemberHost> aHosts)
{
  std::vector<member::Host> hosts;
  hosts.reserve(aHosts.size());
  for (const auto& host : aHosts) {
    hosts.push_back(FromWire(host));
  }
  return hosts;
}

/** @brief Fills the field of the union that belongs to a message. */
struct MessageWriter
{
  wire::MemberMessage& out;

  void operator()(const member::Ping& aPing) const
  {
    wire::MemberPing ping;
    ping.sequence = static_cast<std::int64_t>(aPing.sequence);
    ping.origin = aPing.origin.String();
    ping.updates = ToWire(aPing.updates);
    out.__set_ping(ping);
  }
  void operator()(const member::PingRequest& aRequest) const
  {
    wire::MemberPingRequest request;
    request.sequence = static_cast<std::int64_t>(aRequest.sequence);
    request.target = aRequest.target.String();
    request.updates = ToWire(aRequest.updates);
    out.__set_pingRequest(request);
  }
  void operator()(const member::Ack& aAck) const
  {
    wire::MemberAck ack;
    ack.sequence = static_cast<std::int64_t>(aAck.sequence);
    ack.origin = aAck.origin.String();
    ack.updates = ToWire(aAck.updates);
    out.__set_ack(ack);
  }
  void operator()(const member::Join& aJoin) const
  {
    wire::MemberJoin join;
    join.host = ToWire(aJoin.host);
    out.__set_join(join);
  }
  void operator()(const member::Sync& aSync) const
  {
    wire::MemberSync sync;
    sync.hosts = ToWire(aSync.hosts);
    sync.reply = aSync.reply;
    out.__set_sync(sync);
  }
  void operator()(const member::Digest& aDigest) const
  {
    wire::MemberDigest digest;
    digest.hash = static_cast<std::int64_t>(aDigest.hash);
    out.__set_digest(digest);
  }
  void operator()(const member::Updates& aUpdates) const
  {
    wire::MemberNews news;
    news.updates = ToWire(aUpdates.updates);
    out.__set_news(news);
  }
};

std::uint64_t
Unsigned(std::int64_t aNumber)
{
  return static_cast<std::uint64_t>(aNumber);
}

member::Message
ReadMessage(const wire::MemberMessage& aMessage)
{
  const auto& set = aMessage.__isset;
  if (set.ping) {
    return member::Ping{ .sequence = Unsigned(aMessage.ping.sequence),
                         .origin = HostId{ aMessage.ping.origin },
                         .updates = FromWire(aMessage.ping.updates) };
  }
  if (set.pingRequest) {
    const auto& request = aMessage.pingRequest;
    return member::PingRequest{ .sequence = Unsigned(request.sequence),
                                .target = HostId{ request.target },
                                .updates = FromWire(request.updates) };
  }
  if (set.ack) {
    return member::Ack{ .sequence = Unsigned(aMessage.ack.sequence),
                        .origin = HostId{ aMessage.ack.origin },
                        .updates = FromWire(aMessage.ack.updates) };
  }
  if (set.join) {
    return member::Join{ .host = FromWire(aMessage.join.host) };
  }
  if (set.sync) {
    return member::Sync{ .hosts = FromWire(aMessage.sync.hosts),
                         .reply = aMessage.sync.reply };
  }
  if (set.digest) {
    return member::Digest{ .hash = Unsigned(aMessage.digest.hash) };
  }
  if (set.news) {
    return member::Updates{ .updates = FromWire(aMessage.news.updates) };
  }
  throw Failure{ MakeError(ErrorKind::BadRequest, "unknown message") };
}

} // namespace

ByteVector
Encode(const member::Message& aMessage)
{
  wire::MemberMessage message;
  std::visit(MessageWriter{ message }, aMessage);
  return ToBytes(message);
}

tl::expected<member::Message, Error>
DecodeMemberMessage(ByteView aBytes)
{
  const auto decoded = FromBytes<wire::MemberMessage>(aBytes);
  if (!decoded) {
    return tl::unexpected(decoded.error());
  }
  try {
    return ReadMessage(*decoded);
  } catch (const Failure& failure) {
    return tl::unexpected(failure.Cause());
  }
}

} // namespace balsampoint::peer
