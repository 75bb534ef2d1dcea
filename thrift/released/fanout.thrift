include "change.thrift"

namespace cpp balsampoint.peer.generated

// The tree that brings configurations to all hosts.
struct FanoutHost {
  1: required string host
  2: required i64 incarnation
  3: required string zone
  4: required string address
  5: required bool hasDisk
  6: required bool reachable
  7: required i64 number
}

struct FanoutJoinRequest {
  1: required FanoutHost host
}

struct FanoutJoinReply {
  1: required i64 number
  2: required string parent
  3: required string parentAddress
  4: required bool leads
}

struct FanoutReport {
  1: required list<FanoutHost> hosts
}

struct FanoutFetch {
  1: required i64 have
}

struct FanoutUpdate {
  1: required i64 base
  2: required i64 number
  3: required bool whole
  4: required change.ChangeDelta delta
  5: required string leader
  6: required i64 rootAge
}

struct FanoutInForceRequest {
  1: required i64 ticket
  2: required i64 number
  3: required i64 wait
}

struct FanoutInForceReply {
  1: required i64 ticket
  2: required list<FanoutHost> hosts
}

union FanoutMessage {
  1: FanoutJoinRequest joinRequest
  2: FanoutJoinReply joinReply
  3: FanoutReport report
  4: FanoutFetch fetch
  5: FanoutUpdate update
  6: FanoutInForceRequest inForceRequest
  7: FanoutInForceReply inForceReply
}
