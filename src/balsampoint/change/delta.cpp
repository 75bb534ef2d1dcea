#include "balsampoint/change/delta.hpp"

namespace balsampoint::change {

SharedSections
ApplyDelta(const Sections& aBase, const Delta& aDelta)
{
  auto next = std::make_shared<Sections>(aBase);
  for (const auto& name : aDelta.removals) {
    next->erase(name);
  }
  for (const auto& [name, content] : aDelta.upserts) {
    next->insert_or_assign(name, content);
  }
  return next;
}

Delta
Difference(const Sections& aFrom, const Sections& aTo)
{
  Delta delta;
  for (const auto& [name, content] : aFrom) {
    if (!aTo.contains(name)) {
      delta.removals.insert(name);
    }
  }
  for (const auto& [name, content] : aTo) {
    const auto found = aFrom.find(name);
    if (found == aFrom.end() || found->second != content) {
      delta.upserts.emplace(name, content);
    }
  }
  return delta;
}

} // namespace balsampoint::change
