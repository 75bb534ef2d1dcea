#pragma once

#include "balsampoint/config/document.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace balsampoint::config {

/**
 * @brief Finds the holder of a key by the key's public part.
 *
 * Built once per configuration; a look-up costs one hash whatever the number
 * of workspaces.
 */
class KeyIndex
{
public:
  KeyIndex() = default;

  /**
   * @brief Indexes the keys of a configuration.
   * @param aDocument The configuration.
   * @param aOperatorKeys Operators' keys from the host's settings.
   * @return The index; it copies what it needs.
   */
  [[nodiscard]] static KeyIndex Make(const Document& aDocument,
                                     std::span<const KeyHash> aOperatorKeys);

  /**
   * @brief Finds a key's workspace.
   * @param aKey The key as the caller gave it.
   * @return The workspace, or nothing when the key is not known.
   */
  [[nodiscard]] std::optional<WorkspaceId> FindWorkspace(
    std::string_view aKey) const;

  /**
   * @brief Finds a key's operator.
   * @param aKey The key as the operator gave it.
   * @return The operator, or nothing when the key is not known. A key from
   * the settings gives its own id.
   */
  [[nodiscard]] std::optional<OperatorId> FindOperator(
    std::string_view aKey) const;

private:
  template<typename Id>
  struct Holder
  {
    Id id;
    KeyHash hash;
  };

  template<typename Id>
  using Holders = std::unordered_map<std::string, Holder<Id>>;

  template<typename Id>
  [[nodiscard]] static std::optional<Id> Find(const Holders<Id>& aHolders,
                                              std::string_view aKey);

  Holders<WorkspaceId> mWorkspaces;
  Holders<OperatorId> mOperators;
};

} // namespace balsampoint::config
