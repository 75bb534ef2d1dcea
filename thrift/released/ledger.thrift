namespace cpp balsampoint.peer.generated

// Commands, messages and snapshots of the table of idempotency keys.
struct LedgerKey {
  1: required string workspaceId
  2: required string serviceId
  3: required string value
}

struct LedgerClaimId {
  1: required string host
  2: required i64 incarnation
  3: required i64 number
}

struct LedgerHeader {
  1: required string name
  2: required string value
}

struct LedgerAnswer {
  1: required i32 status
  2: required list<LedgerHeader> headers
  3: required binary body
  4: required bool complete
}

struct LedgerClaim {
  1: required LedgerKey key
  2: required binary digest
  3: required LedgerClaimId id
}

struct LedgerRecord {
  1: required LedgerKey key
  2: required LedgerClaimId id
  3: required LedgerAnswer answer
}

struct LedgerRelease {
  1: required LedgerKey key
  2: required LedgerClaimId id
}

// Times are in nanoseconds.
struct LedgerTimeStep {
  1: required i64 start
  2: required i64 length
}

union LedgerCommand {
  1: LedgerClaim claim
  2: LedgerRecord record
  3: LedgerRelease release
  4: LedgerTimeStep timeStep
}

struct LedgerNothing {
}

struct LedgerError {
  1: required string kind
  2: required string detail
  3: required string executed
  4: required i64 retryAfter
}

union LedgerOutcome {
  1: LedgerNothing granted
  2: LedgerAnswer repeated
  3: LedgerClaimId inDoubt
  4: LedgerNothing done
  5: LedgerError error
}

struct LedgerAskId {
  1: required i64 incarnation
  2: required i64 number
}

struct LedgerAsk {
  1: required LedgerAskId id
  2: required LedgerCommand command
}

struct LedgerTold {
  1: required LedgerAskId id
  2: required LedgerOutcome outcome
}

struct LedgerNotLeader {
  1: required LedgerAskId id
  2: required string leader
}

union LedgerMessage {
  1: LedgerAsk ask
  2: LedgerTold told
  3: LedgerNotLeader notLeader
}

struct LedgerEntry {
  1: required LedgerKey key
  2: required binary digest
  3: required LedgerClaimId claim
  4: required i32 phase
  5: required LedgerAnswer answer
  6: required i64 expiry
}

// The bounds are part of the build, so that all members have the same.
struct LedgerTable {
  1: required i64 time
  2: required list<LedgerEntry> entries
}
