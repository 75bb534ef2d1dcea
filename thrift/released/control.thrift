namespace cpp balsampoint.peer.generated

// One command of the replicated log, for one of the replicated tables.
struct ControlCommand {
  1: required i32 table
  2: required binary body
}

// All replicated tables as of one entry of the log.
struct ControlSnapshot {
  1: required map<i32, binary> tables
}
