namespace cpp balsampoint.peer.generated

// Changes of configuration: messages, log commands and snapshots.
struct ChangeDelta {
  1: required map<string, string> upserts
  2: required list<string> removals
}

struct ChangeCommand {
  1: required i64 number
  2: required string changeId
  3: required string author
  4: required string digest
  5: required bool whole
  6: required ChangeDelta delta
  7: optional i32 numbering
}

struct ChangeAnswer {
  1: required i32 outcome
  2: required i64 number
  3: required string winner
  4: required i64 nextNumber
}

struct ChangeSubmission {
  1: required i64 ticket
  2: required i64 attempt
  3: required ChangeCommand command
}

struct ChangeSubmissionReply {
  1: required i64 ticket
  2: required i64 attempt
  3: required string changeId
  4: optional ChangeAnswer answer
  5: required string leader
}

union ChangeMessage {
  1: ChangeSubmission submission
  2: ChangeSubmissionReply reply
}

struct ChangeDecided {
  1: required i64 number
  2: required string changeId
  3: required string author
  4: required string digest
  5: required ChangeAnswer answer
}

struct ChangeTable {
  1: required i64 number
  2: required map<string, string> sections
  // In the order of their decisions.
  3: required list<ChangeDecided> decided
}
