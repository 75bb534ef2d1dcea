namespace cpp balsampoint.peer.generated

// One message between two daemons of a cluster.
struct Frame {
  1: required i32 version
  2: required string cluster
  3: required string sender
  4: required string recipient
  5: required i64 incarnation
  // Number of the decision module that the body is for.
  6: required i32 target
  7: required binary body
  // HMAC-SHA256 over all other fields under the cluster secret.
  8: required binary mac
}

service Peer {
  oneway void Deliver(1: Frame frame)
}
