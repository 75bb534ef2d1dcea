#include "balsampoint/member/internal/digest.hpp"

#include "balsampoint/core/hash.hpp"

namespace balsampoint::member::internal {

namespace {

std::uint64_t
HashOf(const Host& aHost)
{
  auto hash = HashText(aHost.id.Value());
  hash = HashNumber(hash, aHost.incarnation.Value());
  return HashNumber(hash, aHost.revision);
}

} // namespace

std::uint64_t
HashOf(const State& aState)
{
  auto sum = HashOf(aState.self);
  for (const auto& [id, peer] : aState.peers) {
    if (peer.host.Reachable()) {
      sum += HashOf(peer.host);
    }
  }
  return sum;
}

} // namespace balsampoint::member::internal
