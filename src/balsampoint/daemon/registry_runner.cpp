#include "balsampoint/daemon/registry_runner.hpp"

#include <utility>
#include <variant>

namespace balsampoint::daemon {

namespace {

constexpr Duration kAnswerWait = std::chrono::seconds{ 1 };

} // namespace

RegistryRunner::RegistryRunner(ControlMailbox& aMailbox,
                               traffic::World& aWorld,
                               peer::Sender& aSender)
  : mMailbox{ aMailbox }
  , mWorld{ aWorld }
  , mSender{ aSender }
{
}

tl::expected<Duration, Error>
RegistryRunner::Announce(registry::Announcement aAnnouncement)
{
  decltype(mAnswers)::Waiter waiter{ mAnswers };
  const bool posted = mMailbox.Push(registry::Event{ registry::Announced{
    .ticket = waiter.Number(), .announcement = std::move(aAnnouncement) } });
  if (!posted) {
    return Refuse(ErrorKind::Overloaded, "the control queue is full");
  }
  auto answer = waiter.Wait(kAnswerWait);
  if (!answer) {
    return Refuse(ErrorKind::Overloaded, "the control thread is late");
  }
  return std::move(*answer);
}

void
RegistryRunner::Run(const registry::Action& aAction)
{
  std::visit([this](const auto& aOne) { Do(aOne); }, aAction);
}

void
RegistryRunner::Do(const registry::Answered& aAnswer)
{
  mAnswers.Complete(aAnswer.ticket, aAnswer.result);
}

void
RegistryRunner::Do(const registry::Publish& aPublish)
{
  mWorld.servers.Publish(aPublish.view);
  mWorld.changed.Notify();
}

void
RegistryRunner::Do(const registry::Send& /*aSend*/)
{
}

} // namespace balsampoint::daemon
