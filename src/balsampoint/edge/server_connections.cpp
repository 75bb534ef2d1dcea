#include "balsampoint/edge/server_connections.hpp"

#include <algorithm>
#include <utility>

namespace balsampoint::edge {

std::shared_ptr<ServerConnection>
ServerConnections::Make(const std::string& aAddress,
                        std::optional<DetourPath> aDetour)
{
  auto& made = mMade[aAddress];
  std::erase_if(made, [](const auto& aOne) { return aOne.expired(); });
  auto connection = std::make_shared<ServerConnection>(
    mContext, aAddress, mLimits, std::move(aDetour));
  made.push_back(connection);
  return connection;
}

void
ServerConnections::ForgetEnded()
{
  std::erase_if(mMade, [](const auto& aEntry) {
    return std::ranges::all_of(aEntry.second,
                               [](const auto& aOne) { return aOne.expired(); });
  });
}

bool
ServerConnections::IsConnected(const std::string& aAddress) const
{
  const auto made = mMade.find(aAddress);
  return made != mMade.end() &&
         std::ranges::any_of(made->second, [](const auto& aOne) {
           const auto connection = aOne.lock();
           return connection && connection->Established();
         });
}

std::vector<reach::ConnectionEvidence>
ServerConnections::Evidence(bool aAskKernel) const
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

} // namespace balsampoint::edge
