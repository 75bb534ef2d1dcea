#include "balsampoint/member/query/view.hpp"

#include <algorithm>

namespace balsampoint::member {

View
MakeView(const State& aState)
{
  View view;
  view.hosts.reserve(aState.peers.size() + 1);
  view.hosts.push_back(aState.self);
  for (const auto& [id, peer] : aState.peers) {
    view.hosts.push_back(peer.host);
  }
  std::ranges::sort(view.hosts, {}, &Host::id);
  return view;
}

} // namespace balsampoint::member
