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
}

struct RosterUpdate {
  1: required i64 source
  2: required i64 base
  3: required i64 version
  4: required list<RosterClaim> claims
  5: required list<RosterControlHost> controls
  6: required i64 configuration
}

union RosterMessage {
  1: RosterSubscribe subscription
  2: RosterUpdate update
}
