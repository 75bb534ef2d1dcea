#include "balsampoint/peer/fanout_codec.hpp"

#include "balsampoint/peer/generated/fanout_types.h"
#include "balsampoint/peer/internal/change_wire.hpp"
#include "balsampoint/peer/thrift_bytes.hpp"

namespace balsampoint::peer {

namespace {

namespace wire = generated;

using internal::FromWire;
using internal::ToWire;

wire::FanoutHost
ToWire(const fanout::HostReport& aReport)
{
  wire::FanoutHost host;
  host.host = aReport.host.String();
  host.incarnation = ToWire(aReport.incarnation);
  host.zone = aReport.zone.String();
  host.address = aReport.address;
  host.hasDisk = aReport.hasDisk;
  host.reachable = aReport.reachable;
  host.number = ToWire(aReport.number);
  return host;
}

fanout::HostReport
FromWire(const wire::FanoutHost& aHost)
{
  return { HostId{ aHost.host },
           FromWire<Incarnation>(aHost.incarnation),
           ZoneId{ aHost.zone },
           aHost.address,
           aHost.hasDisk,
           aHost.reachable,
           FromWire<ChangeNumber>(aHost.number) };
}

std::vector<wire::FanoutHost>
ToWire(std::span<const fanout::HostReport> aReports)
{
  std::vector<wire::FanoutHost> hosts;
  for (const auto& report : aReports) {
    hosts.push_back(ToWire(report));
  }
  return hosts;
}

std::vector<fanout::HostReport>
FromWire(std::span<const wire::FanoutHost> aHosts)
{
  std::vector<fanout::HostReport> reports;
  for (const auto& host : aHosts) {
    reports.push_back(FromWire(host));
  }
  return reports;
}

/** @brief Fills the field of the union that belongs to a message. */
struct MessageWriter
{
  wire::FanoutMessage& out;

  void operator()(const fanout::JoinRequest& aMessage) const
  {
    wire::FanoutJoinRequest request;
    request.host = ToWire(aMessage.host);
    out.__set_joinRequest(request);
  }
  void operator()(const fanout::JoinReply& aMessage) const
  {
    wire::FanoutJoinReply reply;
    reply.number = ToWire(aMessage.number);
    reply.parent = aMessage.parent.String();
    reply.parentAddress = aMessage.parentAddress;
    reply.leads = aMessage.leads;
    out.__set_joinReply(reply);
  }
  void operator()(const fanout::Report& aMessage) const
  {
    wire::FanoutReport report;
    report.hosts = ToWire(aMessage.hosts);
    out.__set_report(report);
  }
  void operator()(const fanout::Fetch& aMessage) const
  {
    wire::FanoutFetch fetch;
    fetch.have = ToWire(aMessage.have);
    out.__set_fetch(fetch);
  }
  void operator()(const fanout::Update& aMessage) const
  {
    wire::FanoutUpdate update;
    update.base = ToWire(aMessage.base);
    update.number = ToWire(aMessage.number);
    update.whole = aMessage.whole;
    update.delta = ToWire(aMessage.delta);
    update.leader = aMessage.leader.String();
    update.rootAge = aMessage.rootAge.count();
    out.__set_update(update);
  }
  void operator()(const fanout::InForceRequest& aMessage) const
  {
    wire::FanoutInForceRequest request;
    request.ticket = ToWire(aMessage.ticket);
    request.number = ToWire(aMessage.number);
    request.wait = aMessage.wait.count();
    out.__set_inForceRequest(request);
  }
  void operator()(const fanout::InForceReply& aMessage) const
  {
    wire::FanoutInForceReply reply;
    reply.ticket = ToWire(aMessage.ticket);
    reply.hosts = ToWire(aMessage.hosts);
    out.__set_inForceReply(reply);
  }
};

fanout::Message
ReadUpdate(const wire::FanoutUpdate& aUpdate)
{
  return fanout::Update{ FromWire<ChangeNumber>(aUpdate.base),
                         FromWire<ChangeNumber>(aUpdate.number),
                         aUpdate.whole,
                         FromWire(aUpdate.delta),
                         HostId{ aUpdate.leader },
                         Duration{ aUpdate.rootAge } };
}

tl::expected<fanout::Message, Error>
ReadInForce(const wire::FanoutMessage& aMessage)
{
  if (aMessage.__isset.inForceRequest) {
    const auto& request = aMessage.inForceRequest;
    return fanout::InForceRequest{ FromWire<Ticket>(request.ticket),
                                   FromWire<ChangeNumber>(request.number),
                                   Duration{ request.wait } };
  }
  if (aMessage.__isset.inForceReply) {
    const auto& reply = aMessage.inForceReply;
    return fanout::InForceReply{ FromWire<Ticket>(reply.ticket),
                                 FromWire(reply.hosts) };
  }
  return Refuse(ErrorKind::BadRequest, "unknown message of the fan-out");
}

tl::expected<fanout::Message, Error>
ReadMessage(const wire::FanoutMessage& aMessage)
{
  if (aMessage.__isset.joinRequest) {
    return fanout::JoinRequest{ FromWire(aMessage.joinRequest.host) };
  }
  if (aMessage.__isset.joinReply) {
    const auto& reply = aMessage.joinReply;
    return fanout::JoinReply{ FromWire<ChangeNumber>(reply.number),
                              HostId{ reply.parent },
                              reply.parentAddress,
                              reply.leads };
  }
  if (aMessage.__isset.report) {
    return fanout::Report{ FromWire(aMessage.report.hosts) };
  }
  if (aMessage.__isset.fetch) {
    return fanout::Fetch{ FromWire<ChangeNumber>(aMessage.fetch.have) };
  }
  if (aMessage.__isset.update) {
    return ReadUpdate(aMessage.update);
  }
  return ReadInForce(aMessage);
}

} // namespace

ByteVector
Encode(const fanout::Message& aMessage)
{
  wire::FanoutMessage message;
  std::visit(MessageWriter{ message }, aMessage);
  return ToBytes(message);
}

tl::expected<fanout::Message, Error>
DecodeFanoutMessage(ByteView aBytes)
{
  return FromBytes<wire::FanoutMessage>(aBytes).and_then(ReadMessage);
}

} // namespace balsampoint::peer
