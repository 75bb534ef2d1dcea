#include "balsampoint/fanout/query/in_force.hpp"

#include "balsampoint/fanout/internal/in_force.hpp"

namespace balsampoint::fanout {

InForce
DescribeInForce(const State& aState, Instant aNow)
{
  return internal::Describe(aState, aNow);
}

} // namespace balsampoint::fanout
