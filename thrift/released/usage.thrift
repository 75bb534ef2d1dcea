namespace cpp balsampoint.peer.generated

// What a server has said of the requests that it takes from all hosts.
struct UsageRate {
  1: required i64 incarnation
  // Requests per second; absent for no limit.
  2: optional double limit
  3: required i64 ageMs
}

struct UsageService {
  1: required string name
  // Choices of servers per second.
  2: required double demand
}

// What entry hosts have in progress on backend servers.
struct UsageServer {
  1: required string server
  2: required i32 passing
  3: required i32 sent
  // Tokens times layers.
  4: required i64 kv
  // Requests sent in the last seconds, for servers with a rate limit.
  5: optional i32 recent
  6: optional UsageRate rate
}

struct UsageCrash {
  1: required string server
  2: required i64 incarnation
  3: required i64 ageMs
}

struct UsageSuspect {
  // A prompt part, or the fingerprint of a whole request.
  1: required string part
  2: required list<UsageCrash> crashes
  3: optional i64 answeredForMs
  4: required i64 activeForMs
  5: optional bool request
  // Whether the request arrived again before an answer to it.
  6: optional bool cameAgain
  // Whether an answer had begun before each of the crashes.
  7: optional bool answersBegan
}

// A host that opens connections to servers for hosts that can't reach them.
struct UsageDetour {
  1: required string zone
  // IP address and port.
  2: required string address
}

struct UsageOwn {
  1: required list<UsageServer> servers
  2: optional list<UsageSuspect> suspects
  3: optional list<UsageService> services
  // Where the sender opens connections to servers for other hosts; absent if it
  // reaches none or has no room.
  4: optional string detour
  // Whether the sender reaches no servers and is to be told of detours.
  5: optional bool needsDetours
}

struct UsageOthers {
  1: required list<UsageServer> servers
  2: required i32 hosts
  3: optional list<UsageSuspect> suspects
  4: optional list<UsageService> services
  // From a relay only for a host that needs them.
  5: optional list<UsageDetour> detours
}

// Sum of a relay and the entry hosts that report to it.
struct UsageGroup {
  1: required string zone
  2: required i32 hosts
  3: required list<UsageServer> servers
  4: required list<UsageSuspect> suspects
  5: optional list<UsageService> services
  6: optional list<UsageDetour> detours
}

union UsageMessage {
  1: UsageOwn own
  2: UsageOthers others
  3: UsageGroup group
  // Sum of the hosts in other zones.
  4: UsageOthers far
}
