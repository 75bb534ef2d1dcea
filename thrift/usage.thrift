namespace cpp balsampoint.peer.generated

// What entry hosts have in progress on backend servers.
struct UsageServer {
  1: required string server
  2: required i32 passing
  3: required i32 sent
  // Tokens times layers.
  4: required i64 kv
}

struct UsageCrash {
  1: required string server
  2: required i64 incarnation
  3: required i64 ageMs
}

struct UsageSuspect {
  1: required string part
  2: required list<UsageCrash> crashes
  3: optional i64 answeredForMs
  4: required i64 activeForMs
}

struct UsageOwn {
  1: required list<UsageServer> servers
  2: optional list<UsageSuspect> suspects
}

struct UsageOthers {
  1: required list<UsageServer> servers
  2: required i32 hosts
  3: optional list<UsageSuspect> suspects
}

// Sum of a relay and the entry hosts that report to it.
struct UsageGroup {
  1: required string zone
  2: required i32 hosts
  3: required list<UsageServer> servers
  4: required list<UsageSuspect> suspects
}

union UsageMessage {
  1: UsageOwn own
  2: UsageOthers others
  3: UsageGroup group
  // Sum of the hosts in other zones.
  4: UsageOthers far
}
