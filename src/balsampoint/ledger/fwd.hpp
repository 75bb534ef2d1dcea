#pragma once

/**
 * @brief At-most-once calls: a replicated table of idempotency keys, and the
 * state machine of one call on its entry host.
 */
namespace balsampoint::ledger {

struct Bounds;
struct Call;
struct Claim;
struct ClaimId;
struct Entry;
struct Key;
struct Module;
struct Record;
struct Release;
struct StoredAnswer;
struct State;
struct Table;
struct TimeStep;

} // namespace balsampoint::ledger
