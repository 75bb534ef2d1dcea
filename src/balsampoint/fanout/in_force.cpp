#include "balsampoint/fanout/in_force.hpp"

#include <algorithm>

namespace balsampoint::fanout {

bool
InForce::Everywhere(ChangeNumber aNumber) const
{
  return complete &&
         std::ranges::all_of(hosts, [aNumber](const HostInForce& aHost) {
           return !aHost.reachable || aHost.report.number >= aNumber;
         });
}

} // namespace balsampoint::fanout
