#include "balsampoint/daemon/fanout_runner.hpp"

#include "balsampoint/daemon/post.hpp"
#include "balsampoint/peer/fanout_codec.hpp"

#include <spdlog/spdlog.h>
#include <utility>

namespace balsampoint::daemon {

namespace {

constexpr std::size_t kQueueCapacity = 65536;
/** @brief Time for the leader's answer to come back. */
constexpr Duration kReplyTime = std::chrono::seconds{ 1 };

} // namespace

FanoutRunner::FanoutRunner(ControlMailbox& aMailbox,
                           peer::Sender& aSender,
                           StatusBoard& aBoard,
                           Configure aConfigure)
  : mMailbox{ aMailbox }
  , mSender{ aSender }
  , mBoard{ aBoard }
  , mConfigure{ std::move(aConfigure) }
  , mContents{ kQueueCapacity }
  , mThread{ [this] { Serve(); } }
{
}

FanoutRunner::~FanoutRunner()
{
  mContents.Close();
  mThread.join();
}

std::vector<fanout::HostReport>
FanoutRunner::Await(ChangeNumber aNumber, Duration aWait)
{
  decltype(mAnswers)::Waiter waiter{ mAnswers };
  Post(
    mMailbox,
    fanout::Event{ fanout::AwaitInForce{ waiter.Number(), aNumber, aWait } });
  return waiter.Wait(aWait + kReplyTime)
    .value_or(std::vector<fanout::HostReport>{});
}

void
FanoutRunner::Run(const fanout::Action& aAction)
{
  std::visit([this](const auto& aOne) { Do(aOne); }, aAction);
}

void
FanoutRunner::Do(const fanout::Send& aSend)
{
  mSender.Send(aSend.to, peer::ModuleTag::Fanout, peer::Encode(aSend.message));
}

void
FanoutRunner::Do(const fanout::Route& aRoute)
{
  if (!aRoute.address.empty()) {
    mSender.Route(aRoute.host, aRoute.address);
  }
}

void
FanoutRunner::Do(const fanout::Publish& aPublish)
{
  Post(mMailbox,
       roster::Event{ roster::ConfigurationUpdated{ aPublish.number } });
  const bool queued = mContents.Push({ aPublish.number, aPublish.sections });
  if (!queued && !mContents.Closed()) {
    throw Failure{ MakeError(ErrorKind::Overloaded,
                             "configurations come faster than they are read") };
  }
}

void
FanoutRunner::Do(const fanout::LeaderAdvertised& aAdvertised)
{
  Post(mMailbox, change::Event{ change::LeaderKnown{ aAdvertised.leader } });
}

void
FanoutRunner::Do(const fanout::InForceKnown& aKnown)
{
  mAnswers.Complete(aKnown.ticket, aKnown.hosts);
}

void
FanoutRunner::Do(const fanout::StatusReady& aReady)
{
  mBoard.Show(aReady.inForce);
  Post(mMailbox, consensus::Event{ consensus::StatusRequested{} });
  if (!mFindsStandbyHosts) {
    return;
  }
  consensus::StandbyHostsUpdated known;
  for (const auto& host : aReady.inForce.hosts) {
    if (host.reachable && host.report.hasDisk) {
      known.standbyHosts.insert({ host.report.host, host.report.zone });
    }
  }
  Post(mMailbox, consensus::Event{ std::move(known) });
}

void
FanoutRunner::Serve()
{
  mContents.Consume([this](fanout::Content aContent) {
    // Of configurations that have queued up only the last one counts.
    while (auto newer = mContents.Pop(Duration{})) {
      aContent = std::move(*newer);
    }
    const auto number = aContent.number;
    if (const auto known = mInForce.Read(); known && known->number >= number) {
      return;
    }
    if (const auto done = mConfigure(aContent); !done) {
      spdlog::error("configuration {} can't be read: {}",
                    number.Value(),
                    done.error().detail);
      return;
    }
    spdlog::info("configuration {} is in force", number.Value());
    mInForce.Publish(
      std::make_shared<const fanout::Content>(std::move(aContent)));
    Post(mMailbox, fanout::Event{ fanout::Published{ number } });
  });
}

} // namespace balsampoint::daemon
