namespace cpp balsampoint.peer.generated

// Messages and records of the replicated log.
struct ConsensusMember {
  1: required string host
  2: required string zone
  3: required bool voter
  4: required string replaces
}

struct ConsensusEntry {
  1: required i64 index
  2: required i64 term
  3: required i32 kind
  4: required binary command
  5: required list<ConsensusMember> members
}

struct ConsensusSnapshot {
  1: required i64 index
  2: required i64 term
  3: required list<ConsensusMember> members
  4: required binary data
}

struct ConsensusHardState {
  1: required i64 term
  2: required string vote
  3: required bool recovering
}

struct ConsensusVoteRequest {
  1: required i64 term
  2: required i64 lastIndex
  3: required i64 lastTerm
  4: required bool preVote
  5: required bool handOver
  6: required bool fresh
}

struct ConsensusVoteReply {
  1: required i64 term
  2: required bool preVote
  3: required bool granted
}

struct ConsensusSilence {
  1: required string host
  2: required i64 microseconds
}

struct ConsensusAppendRequest {
  1: required i64 term
  2: required i64 previousIndex
  3: required i64 previousTerm
  4: required list<ConsensusEntry> entries
  5: required i64 committed
  6: required i64 round
  7: optional list<ConsensusSilence> silences
}

struct ConsensusAppendReply {
  1: required i64 term
  2: required bool accepted
  3: required i64 index
  4: required i64 round
  // Whether the sender may not vote yet.
  5: optional bool recovering
}

struct ConsensusSnapshotRequest {
  1: required i64 term
  2: required i64 index
  3: required i64 snapshotTerm
  4: required list<ConsensusMember> members
  5: required i64 offset
  6: required i64 size
  7: required binary data
  8: required i64 round
}

struct ConsensusSnapshotReply {
  1: required i64 term
  2: required i64 index
  3: required i64 received
  4: required i64 round
}

struct ConsensusHandOverRequest {
  1: required i64 term
}

union ConsensusMessage {
  1: ConsensusVoteRequest voteRequest
  2: ConsensusVoteReply voteReply
  3: ConsensusAppendRequest appendRequest
  4: ConsensusAppendReply appendReply
  5: ConsensusSnapshotRequest snapshotRequest
  6: ConsensusSnapshotReply snapshotReply
  7: ConsensusHandOverRequest handOverRequest
}
