namespace cpp balsampoint.peer.generated

// What entry hosts have in progress on backend servers.
struct UsageServer {
  1: required string server
  2: required i32 passing
  3: required i32 sent
  // Tokens times layers.
  4: required i64 kv
}

struct UsageOwn {
  1: required list<UsageServer> servers
}

struct UsageOthers {
  1: required list<UsageServer> servers
  2: required i32 hosts
}

union UsageMessage {
  1: UsageOwn own
  2: UsageOthers others
}
