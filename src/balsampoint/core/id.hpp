#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace balsampoint {

/**
 * @brief A string id; ids of different kinds are different types.
 * @tparam Tag Tag type of the kind; never defined.
 */
template<typename Tag>
class BasicId
{
public:
  BasicId() = default;

  /**
   * @brief Creates an id.
   * @param aValue Text of the id as configured or announced.
   */
  explicit BasicId(std::string aValue)
    : mValue{ std::move(aValue) }
  {
  }

  /** @brief The text; the view is valid as long as this object. */
  [[nodiscard]] std::string_view Value() const noexcept { return mValue; }

  /** @brief The text as a string. */
  [[nodiscard]] const std::string& String() const noexcept { return mValue; }

  /** @brief Whether the id is empty, which stands for none. */
  [[nodiscard]] bool Empty() const noexcept { return mValue.empty(); }

  auto operator<=>(const BasicId&) const = default;

  friend std::ostream& operator<<(std::ostream& aStream, const BasicId& aId)
  {
    return aStream << aId.mValue;
  }

private:
  std::string mValue;
};

/** @brief Names an entry host or control host. */
using HostId = BasicId<struct HostTag>;
/** @brief Names a region. */
using RegionId = BasicId<struct RegionTag>;
/** @brief Names an availability zone. */
using ZoneId = BasicId<struct ZoneTag>;
/** @brief Names a workspace. */
using WorkspaceId = BasicId<struct WorkspaceTag>;
/** @brief Names a pipeline. */
using PipelineId = BasicId<struct PipelineTag>;
/** @brief Names a plain service. */
using ServiceId = BasicId<struct ServiceTag>;
/** @brief Names a backend server. */
using ServerId = BasicId<struct ServerTag>;
/** @brief Names an operator. */
using OperatorId = BasicId<struct OperatorTag>;
/** @brief Identifies one caller's request across all hops. */
using RequestId = BasicId<struct RequestTag>;
/** @brief Identifies a configuration change; chosen by the operator's client.
 */
using ChangeId = BasicId<struct ChangeTag>;
/** @brief Identifies an order to a model engine. */
using OrderId = BasicId<struct OrderTag>;
/** @brief Names a cluster of hosts that share one control state. */
using ClusterId = BasicId<struct ClusterTag>;
/** @brief Names a part of a prompt that several requests may share. */
using PromptPartId = BasicId<struct PromptPartTag>;
/** @brief Names a model. */
using ModelId = BasicId<struct ModelTag>;

} // namespace balsampoint

/** @brief Hashes an id by its text. */
template<typename Tag>
struct std::hash<
  balsampoint::BasicId<Tag>> // NOLINT(readability-identifier-naming)
{
  std::size_t operator()(const balsampoint::BasicId<Tag>& aId) const noexcept
  {
    return std::hash<std::string_view>{}(aId.Value());
  }
};
