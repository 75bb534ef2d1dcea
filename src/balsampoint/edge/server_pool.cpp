#include "balsampoint/edge/server_pool.hpp"

namespace balsampoint::edge {

namespace {

/** Idle connections per server; further ones are closed when returned. */
constexpr std::size_t kKeptPerServer = 16;

} // namespace

std::shared_ptr<ServerConnection>
ServerPool::TakeKept(const std::string& aAddress)
{
  const auto found = mKept.find(aAddress);
  if (found == mKept.end()) {
    return nullptr;
  }
  auto& kept = found->second;
  while (!kept.empty()) {
    auto connection = std::move(kept.back());
    kept.pop_back();
    if (connection->Open() && !IsOld(*connection)) {
      return connection;
    }
    connection->Close();
  }
  return nullptr;
}

std::shared_ptr<ServerConnection>
ServerPool::Make(const std::string& aAddress)
{
  return std::make_shared<ServerConnection>(mContext, aAddress, mBounds);
}

void
ServerPool::GiveBack(const std::shared_ptr<ServerConnection>& aConnection)
{
  aConnection->Attach(nullptr);
  auto& kept = mKept[aConnection->Address()];
  if (!aConnection->Reusable() || kept.size() >= kKeptPerServer) {
    aConnection->Close();
    return;
  }
  aConnection->Rest();
  kept.push_back(aConnection);
}

void
ServerPool::CloseOld()
{
  for (auto& [address, kept] : mKept) {
    std::erase_if(kept, [](const auto& aConnection) {
      if (aConnection->Open() && !IsOld(*aConnection)) {
        return false;
      }
      aConnection->Close();
      return true;
    });
  }
  std::erase_if(mKept,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

std::size_t
ServerPool::Kept() const
{
  std::size_t count = 0;
  for (const auto& [address, kept] : mKept) {
    count += kept.size();
  }
  return count;
}

bool
ServerPool::IsOld(const ServerConnection& aConnection)
{
  return std::chrono::steady_clock::now() - aConnection.RestsSince() >=
         aConnection.IdleTimeout();
}

} // namespace balsampoint::edge
