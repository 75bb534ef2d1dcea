#include "balsampoint/daemon/roster_runner.hpp"

#include "balsampoint/daemon/post.hpp"
#include "balsampoint/peer/roster_codec.hpp"

#include <variant>

namespace balsampoint::daemon {

void
RosterRunner::Run(const roster::Action& aAction)
{
  std::visit([this](const auto& aOne) { Do(aOne); }, aAction);
}

void
RosterRunner::Do(const roster::Publish& aPublish)
{
  mLatest.Publish(aPublish.view);
  Post(mMailbox,
       placement::Event{ placement::ServersChanged{ aPublish.view } });
  if (mPublish) {
    mPublish(aPublish.view);
  }
}

void
RosterRunner::Do(const roster::Reach& aReach)
{
  mSender.Route(aReach.host, aReach.address);
}

void
RosterRunner::Do(const roster::Send& aSend)
{
  mSender.Send(aSend.to, peer::ModuleTag::Roster, peer::Encode(aSend.message));
}

void
RosterRunner::Do(const roster::ConfigurationHeard& aHeard)
{
  Post(mMailbox,
       fanout::Event{ fanout::NumberHeard{ aHeard.host, aHeard.number } });
}

} // namespace balsampoint::daemon
