namespace cpp balsampoint.peer.generated

// What control hosts tell other hosts about backend servers.
struct RosterClaim {
  1: required string server
  2: required i64 born
  3: required i64 sequenceNumber
  4: required i32 presence
  5: required string serviceId
  6: required string address
  7: required string zone
  8: required string accelerator
  9: required string model
  10: required string modelVersion
  11: optional i32 firstLayer
  12: optional i32 endLayer
  13: required i32 slots
  14: required bool cold
  // The control host that makes the claim; the sender if it is not set.
  15: optional string owner
}

struct RosterControlHost {
  1: required string host
  2: required string address
}

struct RosterSubscribe {
  1: required string address
  2: required bool hears
  3: required i64 source
  4: required i64 have
  5: optional string zone
  // 0 entry host, 1 relay, 2 control host.
  6: optional i32 role
  // Relays that have not answered the sender.
  7: optional list<string> lostRelays
  // Whether the sender is a control host with a disk.
  8: optional bool hasDisk
}

struct RosterUpdate {
  1: required i64 source
  2: required i64 base
  3: required i64 version
  4: required list<RosterClaim> claims
  5: required list<RosterControlHost> controls
  6: required i64 configuration
  7: optional string zone
  8: optional list<RosterControlHost> relays
}

// Names the relays that a host is to subscribe to.
struct RosterReferral {
  1: required list<RosterControlHost> relays
  2: required list<RosterControlHost> controls
}

union RosterMessage {
  1: RosterSubscribe subscription
  2: RosterUpdate update
  3: RosterReferral referral
}
