namespace cpp balsampoint.peer.generated

// What hosts tell each other about hosts.
struct MemberHost {
  1: required string id
  2: required string zone
  3: required string region
  4: required string address
  5: required i64 incarnation
  6: required i64 revision
  7: required i32 state
}

struct MemberPing {
  1: required i64 sequence
  2: required string origin
  3: required list<MemberHost> updates
}

struct MemberPingRequest {
  1: required i64 sequence
  2: required string target
  3: required list<MemberHost> updates
}

struct MemberAck {
  1: required i64 sequence
  2: required string origin
  3: required list<MemberHost> updates
}

struct MemberJoin {
  1: required MemberHost host
}

struct MemberSync {
  1: required list<MemberHost> hosts
  2: required bool reply
}

struct MemberDigest {
  1: required i64 hash
}

struct MemberNews {
  1: required list<MemberHost> updates
}

union MemberMessage {
  1: MemberPing ping
  2: MemberPingRequest pingRequest
  3: MemberAck ack
  4: MemberJoin join
  5: MemberSync sync
  6: MemberDigest digest
  7: MemberNews news
}
