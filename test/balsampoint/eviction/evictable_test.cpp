#include "balsampoint/eviction/command/track_wait.hpp"
#include "balsampoint/eviction/query/find_evictable.hpp"

#include <criterion/criterion.h>

using namespace balsampoint::eviction;

// Guards against clients that hold all connections of a listener without a
// request, so that nobody else is served.
Test(eviction, the_one_that_has_waited_longest_is_closed_first)
{
  State<int> state;
  BeginWait(state, 1);
  BeginWait(state, 2);
  cr_assert_eq(FindEvictable(state), 1);
  BeginWait(state, 1);
  cr_assert_eq(FindEvictable(state), 2);
}

// Guards against a request that has arrived and is cut for a new connection.
Test(eviction, a_connection_with_a_request_is_not_closed)
{
  State<int> state;
  BeginWait(state, 1);
  EndWait(state, 1);
  EndWait(state, 1);
  cr_assert_not(FindEvictable(state).has_value());
  cr_assert(state.order.empty() && state.turns.empty());
}
