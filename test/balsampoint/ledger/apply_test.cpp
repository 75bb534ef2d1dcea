#include "balsampoint/ledger/command/apply.hpp"
#include "balsampoint/ledger/query/lookup.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::ledger;

namespace {

Key
KeyOf(const std::string& aValue, const std::string& aWorkspace = "desk")
{
  return { .workspace = WorkspaceId{ aWorkspace },
           .service = ServiceId{ "orders" },
           .value = aValue };
}

Claim
ClaimOf(const std::string& aKey, std::uint64_t aNumber, int aBody = 1)
{
  Claim claim{ .key = KeyOf(aKey),
               .digest = {},
               .id = { HostId{ "a" }, Incarnation{ 1 }, aNumber } };
  claim.digest.fill(static_cast<std::byte>(aBody));
  return claim;
}

Record
RecordOf(const Claim& aClaim, std::string aBody)
{
  return { .key = aClaim.key,
           .id = aClaim.id,
           .answer = { .status = 201, .body = std::move(aBody) } };
}

ErrorKind
KindOf(const Outcome& aOutcome)
{
  return std::get<Error>(aOutcome).kind;
}

} // namespace

Test(apply, first_claim_is_granted_and_a_repeat_gets_the_recorded_answer)
{
  Table table;
  const auto claim = ClaimOf("k", 1);
  cr_assert(std::holds_alternative<Granted>(Apply(table, claim)));
  cr_assert(std::holds_alternative<Granted>(Apply(table, claim)));
  const auto inDoubt = Apply(table, ClaimOf("k", 2));
  cr_assert(std::get<InDoubt>(inDoubt).holder == claim.id);
  Apply(table, RecordOf(claim, "done"));
  const auto repeat = Apply(table, ClaimOf("k", 3));
  cr_assert(std::get<Repeated>(repeat).answer.body == "done");
}

Test(apply, same_key_with_another_body_is_refused)
{
  Table table;
  Apply(table, ClaimOf("k", 1, 1));
  const auto outcome = Apply(table, ClaimOf("k", 2, 2));
  cr_assert_eq(KindOf(outcome), ErrorKind::KeyReused);
  cr_assert_eq(std::get<Error>(outcome).executed, Executed::No);
}

Test(apply, only_the_claimant_releases_and_records)
{
  Table table;
  const auto claim = ClaimOf("k", 1);
  const auto other = ClaimOf("k", 2);
  Apply(table, claim);
  Apply(table, Release{ .key = other.key, .id = other.id });
  Apply(table, RecordOf(other, "wrong"));
  cr_assert_eq(Find(table, claim.key)->phase, Phase::Claimed);
  Apply(table, Release{ .key = claim.key, .id = claim.id });
  cr_assert(std::holds_alternative<Granted>(Apply(table, other)));
}

Test(apply, claim_that_arrives_after_its_release_grants_nothing)
{
  Table table;
  const auto claim = ClaimOf("k", 1);
  Apply(table, Release{ .key = claim.key, .id = claim.id });
  cr_assert(std::holds_alternative<Error>(Apply(table, claim)));
  cr_assert(std::holds_alternative<Granted>(Apply(table, ClaimOf("k", 2))));
}

Test(apply, recorded_answer_outlives_a_late_release)
{
  Table table;
  const auto claim = ClaimOf("k", 1);
  Apply(table, claim);
  Apply(table, RecordOf(claim, "done"));
  Apply(table, Release{ .key = claim.key, .id = claim.id });
  cr_assert_eq(Find(table, claim.key)->phase, Phase::Recorded);
}

Test(apply, full_table_refuses_claims_and_evicts_nothing)
{
  Table table;
  table.bounds.maxEntries = 2;
  Apply(table, ClaimOf("a", 1));
  Apply(table, ClaimOf("b", 2));
  cr_assert_eq(KindOf(Apply(table, ClaimOf("c", 3))), ErrorKind::LedgerFull);
  cr_assert(std::holds_alternative<InDoubt>(Apply(table, ClaimOf("a", 4))));
}

Test(apply, one_workspace_cannot_fill_the_table_for_others)
{
  Table table;
  table.bounds.maxWorkspaceEntries = 1;
  Apply(table, ClaimOf("a", 1));
  cr_assert_eq(KindOf(Apply(table, ClaimOf("b", 2))), ErrorKind::LedgerFull);
  auto other = ClaimOf("b", 3);
  other.key.workspace = WorkspaceId{ "other" };
  cr_assert(std::holds_alternative<Granted>(Apply(table, other)));
}

Test(apply, large_answer_leaves_its_status_and_says_that_it_is_incomplete)
{
  Table table;
  table.bounds.maxAnswerBytes = 4;
  const auto claim = ClaimOf("k", 1);
  Apply(table, claim);
  Apply(table, RecordOf(claim, "too long"));
  const auto repeat = Apply(table, ClaimOf("k", 2));
  const auto& answer = std::get<Repeated>(repeat).answer;
  cr_assert_eq(answer.status, 201);
  cr_assert_not(answer.complete);
  cr_assert(answer.body.empty());
}

Test(apply, keys_expire_by_the_tables_time_and_leave_all_counts)
{
  Table table;
  const auto window = table.bounds.retention;
  constexpr Duration kFirst{ 1 };
  Apply(table, ClaimOf("k", 1));
  Apply(table, TimeStep{ .from = Duration{}, .by = kFirst });
  Apply(table, TimeStep{ .from = kFirst, .by = window - kFirst });
  cr_assert_not_null(Find(table, KeyOf("k")));
  Apply(table, TimeStep{ .from = kFirst, .by = window });
  cr_assert_not_null(Find(table, KeyOf("k")), "a stale step has no effect");
  Apply(table, TimeStep{ .from = window, .by = kFirst });
  cr_assert_null(Find(table, KeyOf("k")));
  cr_assert(table.total == Usage{});
  cr_assert(table.workspaces.empty());
  cr_assert(table.expiries.empty());
}

Test(apply, catch_up_step_does_not_shorten_the_retention_of_a_new_key)
{
  Table table;
  const auto late = table.bounds.retention * 2;
  Apply(table, ClaimOf("k", 1));
  Apply(table, TimeStep{ .from = Duration{}, .by = late });
  cr_assert_not_null(Find(table, KeyOf("k")));
  Apply(table, TimeStep{ .from = late, .by = table.bounds.retention });
  cr_assert_null(Find(table, KeyOf("k")));
}

Test(apply, key_must_not_be_empty_or_too_long)
{
  Table table;
  cr_assert_eq(KindOf(Apply(table, ClaimOf("", 1))), ErrorKind::BadRequest);
  const std::string longKey(table.bounds.maxKeyBytes + 1, 'k');
  cr_assert_eq(KindOf(Apply(table, ClaimOf(longKey, 1))),
               ErrorKind::BadRequest);
}
