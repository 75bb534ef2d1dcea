#include "balsampoint/daemon/member_runner.hpp"

#include "balsampoint/peer/member_codec.hpp"

#include <algorithm>
#include <spdlog/spdlog.h>
#include <variant>

namespace balsampoint::daemon {

namespace {

/** Hosts that may use a share of the limits: one out of reach may be cut off
 * and go on serving, so only those that left don't count. */
limit::HostsChanged
SharersOf(const member::View& aView)
{
  const auto sharers =
    std::ranges::count_if(aView.hosts, [](const member::Host& aHost) {
      return aHost.state != member::HostState::Left;
    });
  return { .hosts =
             static_cast<std::uint32_t>(std::max<std::ptrdiff_t>(1, sharers)) };
}

} // namespace

MemberRunner::MemberRunner(ControlMailbox& aMailbox, peer::Sender& aSender)
  : mMailbox{ aMailbox }
  , mSender{ aSender }
{
}

void
MemberRunner::Run(const member::Action& aAction)
{
  std::visit([this](const auto& aOne) { Do(aOne); }, aAction);
}

void
MemberRunner::Do(const member::Send& aSend)
{
  mSender.Route(aSend.to, aSend.address);
  mSender.Send(aSend.to, peer::ModuleTag::Member, peer::Encode(aSend.message));
}

void
MemberRunner::Do(const member::Publish& aPublish)
{
  for (const auto& host : aPublish.view->hosts) {
    if (host.Reachable()) {
      mSender.Route(host.id, host.address);
    }
  }
  const bool posted = mMailbox.Push(registry::Event{
                        registry::HostsChanged{ .view = aPublish.view } }) &&
                      mMailbox.Push(limit::Event{ SharersOf(*aPublish.view) });
  if (!posted) {
    spdlog::error("the control queue is full");
  }
}

} // namespace balsampoint::daemon
