#include "balsampoint/edge/server_pool.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace balsampoint::edge {

namespace {

/** Idle connections per server; further ones are closed when returned. */
constexpr std::size_t kMaxIdlePerServer = 16;
/** The same for connections that other hosts have opened: these hold as many
 * for each of several hosts. */
constexpr std::size_t kMaxIdleDetours = 1;

} // namespace

std::shared_ptr<ServerConnection>
ServerPool::TakeIdle(const std::string& aAddress, const RequestId& aRequest)
{
  const auto found = mIdle.find(aAddress);
  if (found == mIdle.end()) {
    return nullptr;
  }
  auto& idle = found->second;
  CloseExpired(idle);
  // The one that was used last.
  const auto last =
    std::find_if(idle.rbegin(), idle.rend(), [&](const auto& aConnection) {
      return !aConnection->MayHaveCarried(aRequest);
    });
  if (last == idle.rend()) {
    return nullptr;
  }
  auto connection = std::move(*last);
  idle.erase(std::prev(last.base()));
  return connection;
}

std::shared_ptr<ServerConnection>
ServerPool::Make(const std::string& aAddress, std::optional<DetourPath> aDetour)
{
  auto& made = mMade[aAddress];
  std::erase_if(made, [](const auto& aOne) { return aOne.expired(); });
  auto connection = std::make_shared<ServerConnection>(
    mContext, aAddress, mLimits, std::move(aDetour));
  made.push_back(connection);
  return connection;
}

bool
ServerPool::IsConnected(const std::string& aAddress) const
{
  const auto made = mMade.find(aAddress);
  return made != mMade.end() &&
         std::ranges::any_of(made->second, [](const auto& aOne) {
           const auto connection = aOne.lock();
           return connection && connection->Established();
         });
}

void
ServerPool::Return(const std::shared_ptr<ServerConnection>& aConnection)
{
  aConnection->SetObserver(nullptr);
  auto& idle = mIdle[aConnection->Address()];
  const auto most = mKeepsDetours ? kMaxIdleDetours : kMaxIdlePerServer;
  if (!aConnection->Reusable() || idle.size() >= most ||
      aConnection->HasDetour() != mKeepsDetours) {
    aConnection->Close();
    return;
  }
  aConnection->MarkIdle();
  idle.push_back(aConnection);
}

void
ServerPool::CloseIdle(const std::string& aAddress)
{
  const auto idle = mIdle.extract(aAddress);
  if (!idle) {
    return;
  }
  for (const auto& connection : idle.mapped()) {
    connection->Close();
  }
}

void
ServerPool::KeepDetours(bool aDetours)
{
  if (mKeepsDetours == aDetours) {
    return;
  }
  mKeepsDetours = aDetours;
  for (const auto& [address, idle] : std::exchange(mIdle, {})) {
    for (const auto& connection : idle) {
      connection->Close();
    }
  }
}

void
ServerPool::CloseExpired()
{
  for (auto& [address, idle] : mIdle) {
    CloseExpired(idle);
  }
  std::erase_if(mIdle,
                [](const auto& aEntry) { return aEntry.second.empty(); });
  std::erase_if(mMade, [](const auto& aEntry) {
    return std::ranges::all_of(aEntry.second,
                               [](const auto& aOne) { return aOne.expired(); });
  });
}

void
ServerPool::CloseExpired(Connections& aIdle)
{
  std::erase_if(aIdle, [](const auto& aConnection) {
    if (aConnection->Open() && !IsExpired(*aConnection)) {
      return false;
    }
    aConnection->Close();
    return true;
  });
}

std::vector<reach::ConnectionEvidence>
ServerPool::Evidence(bool aAskKernel) const
{
  std::vector<reach::ConnectionEvidence> found;
  for (const auto& [address, connections] : mMade) {
    for (const auto& one : connections) {
      const auto connection = one.lock();
      if (!connection) {
        continue;
      }
      if (auto evidence = connection->Evidence(aAskKernel)) {
        evidence->server = address;
        found.push_back(*evidence);
      }
    }
  }
  return found;
}

std::size_t
ServerPool::IdleCount() const
{
  std::size_t count = 0;
  for (const auto& [address, idle] : mIdle) {
    count += idle.size();
  }
  return count;
}

bool
ServerPool::IsExpired(const ServerConnection& aConnection)
{
  return std::chrono::steady_clock::now() - aConnection.IdleSince() >=
         aConnection.IdleTimeout();
}

} // namespace balsampoint::edge
