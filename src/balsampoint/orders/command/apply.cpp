#include "balsampoint/orders/command/apply.hpp"

namespace balsampoint::orders {

namespace {

bool
ApplyOne(Table& aTable, const Grant& aGrant)
{
  if (aGrant.seenFencing != aTable.fencing ||
      aGrant.seenRenewals != aTable.renewals) {
    return false;
  }
  aTable = { .holder = aGrant.holder,
             .incarnation = aGrant.incarnation,
             .fencing = aTable.fencing.Next() };
  return true;
}

bool
ApplyOne(Table& aTable, const Renew& aRenew)
{
  if (aTable.holder.Empty() || aRenew.fencing != aTable.fencing ||
      aRenew.renewal != aTable.renewals + 1) {
    return false;
  }
  aTable.renewals = aRenew.renewal;
  return true;
}

bool
ApplyOne(Table& aTable, const Release& aRelease)
{
  if (aTable.holder.Empty() || aRelease.fencing != aTable.fencing) {
    return false;
  }
  aTable.holder = {};
  ++aTable.renewals;
  return true;
}

} // namespace

bool
Apply(Table& aTable, const Command& aCommand)
{
  return std::visit([&](const auto& aOne) { return ApplyOne(aTable, aOne); },
                    aCommand);
}

} // namespace balsampoint::orders
