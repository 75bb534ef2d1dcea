#include "balsampoint/config/query/key_index.hpp"

#include "balsampoint/config/query/verify_key.hpp"

namespace balsampoint::config {

KeyIndex
KeyIndex::Make(const Document& aDocument,
               std::span<const KeyHash> aOperatorKeys)
{
  KeyIndex index;
  for (const auto& [id, workspace] : aDocument.workspaces) {
    for (const auto& hash : workspace.keys) {
      index.mWorkspaces.emplace(hash.id, Holder<WorkspaceId>{ id, hash });
    }
  }
  for (const auto& hash : aOperatorKeys) {
    index.mOperators.emplace(hash.id,
                             Holder<OperatorId>{ OperatorId{ hash.id }, hash });
  }
  for (const auto& [id, entry] : aDocument.operators) {
    for (const auto& hash : entry.keys) {
      index.mOperators.emplace(hash.id, Holder<OperatorId>{ id, hash });
    }
  }
  return index;
}

template<typename Id>
std::optional<Id>
KeyIndex::Find(const Holders<Id>& aHolders, std::string_view aKey)
{
  const auto found = aHolders.find(std::string{ KeyIdOf(aKey) });
  if (found == aHolders.end() || !VerifyKey(found->second.hash, aKey)) {
    return std::nullopt;
  }
  return found->second.id;
}

std::optional<WorkspaceId>
KeyIndex::FindWorkspace(std::string_view aKey) const
{
  return Find(mWorkspaces, aKey);
}

std::optional<OperatorId>
KeyIndex::FindOperator(std::string_view aKey) const
{
  return Find(mOperators, aKey);
}

} // namespace balsampoint::config
