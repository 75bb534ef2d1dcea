#include "balsampoint/daemon/registry_runner.hpp"

#include "balsampoint/peer/registry_codec.hpp"

#include <algorithm>
#include <spdlog/spdlog.h>
#include <utility>
#include <variant>

namespace balsampoint::daemon {

namespace {

constexpr Duration kAnswerWait = std::chrono::seconds{ 1 };

/** KV of all live engines; one that holds some layers counts for its part. */
limit::CapacityChanged
CapacityOf(const registry::View& aView)
{
  double capacity = 0.0;
  double used = 0.0;
  for (const auto& server : aView.servers) {
    const auto& announced = server.announcement;
    if (announced.state != registry::ServerState::Ready ||
        announced.holdings.empty()) {
      continue;
    }
    const auto& held = announced.holdings.front();
    const auto part =
      static_cast<double>(held.layers.Size()) / std::max(1U, held.modelLayers);
    capacity += part * static_cast<double>(announced.kvCapacityTokens);
    used += part * static_cast<double>(announced.load.kvTokensUsed);
  }
  return { .kvCapacity = static_cast<std::uint64_t>(capacity),
           .kvUsed = static_cast<std::uint64_t>(used) };
}

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
  const bool posted =
    mMailbox.Push(retry::Event{ retry::ServersChanged{ aPublish.view } }) &&
    mMailbox.Push(limit::Event{ CapacityOf(*aPublish.view) });
  if (!posted) {
    spdlog::error("the control queue is full; the next view comes with the "
                  "next change");
  }
}

void
RegistryRunner::Do(const registry::Send& aSend)
{
  mSender.Send(
    aSend.to, peer::ModuleTag::Registry, peer::Encode(aSend.message));
}

} // namespace balsampoint::daemon
