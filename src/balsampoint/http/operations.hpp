#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/core/id.hpp"
#include "balsampoint/core/number.hpp"
#include "balsampoint/traffic/status.hpp"

#include <functional>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace balsampoint::http {

/** @brief An operator's change of configuration; its text was checked. */
struct ChangeRequest
{
  ChangeNumber number;
  ChangeId change;
  OperatorId by;
  /** The configuration as `config::Serialize` writes it. */
  std::string document;
  /** How long to wait until it is in force everywhere; zero not to wait. */
  Duration wait{};
};

/** @brief What one host reported as in force. */
struct HostNumber
{
  HostId host;
  Incarnation incarnation;
  ChangeNumber number;
};

/** @brief Answer to an accepted change. */
struct ChangeAnswer
{
  ChangeNumber number;
  ChangeId change;
  /** Hosts that have this change or a later one in force. */
  std::vector<HostNumber> hosts;
  /** Hosts that are out of reach or did not report it within the wait. */
  std::vector<HostId> missing;
  /** Whether every host in reach is known to have it in force. */
  bool everywhere{ false };
};

/** @brief Why a change was not accepted. */
struct ChangeRefusal
{
  Error error;
  /** The change that holds the number, when it was lost to another. */
  std::optional<ChangeId> winner;
};

/** @brief Which change of the control group's members is asked for. */
enum class MemberChangeKind : std::uint8_t
{
  Add,
  Remove,
  Replace,
};

/** @brief A change of the control group's members. */
struct MemberChange
{
  MemberChangeKind kind{};
  HostId host;
  /** The host that takes its place, for `Replace`. */
  HostId replacement;
};

/**
 * @brief What needs the control thread; each blocks a traffic thread to its
 * end.
 */
struct Operations
{
  std::function<tl::expected<ChangeAnswer, ChangeRefusal>(const ChangeRequest&)>
    submit;
  std::function<tl::expected<void, Error>(const MemberChange&)> changeMembers;
  std::function<void()> drain;
  /** All hosts as the control group's leader knows them. */
  std::function<tl::expected<std::vector<traffic::HostStatus>, Error>()> hosts;
};

} // namespace balsampoint::http
