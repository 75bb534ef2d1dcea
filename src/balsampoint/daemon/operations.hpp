#pragma once

#include "balsampoint/daemon/runners.hpp"
#include "balsampoint/http/operations.hpp"
#include "balsampoint/traffic/world.hpp"

namespace balsampoint::daemon {

/**
 * @brief Submits an operator's change and waits as long as asked.
 * @param aRunners Ways to the control thread.
 * @param aRequest The change.
 * @return The answer, or the refusal.
 */
[[nodiscard]] tl::expected<http::ChangeAnswer, http::ChangeRefusal>
SubmitChange(Runners& aRunners, const http::ChangeRequest& aRequest);

/**
 * @brief Changes the members of the control group, if this host leads it.
 * @param aRunners Ways to the control thread.
 * @param aWorld What the host knows of zones and of the leader.
 * @param aChange The change.
 * @return Nothing, or the refusal; it names the leader when that is another.
 */
[[nodiscard]] tl::expected<void, Error>
ChangeMembers(Runners& aRunners,
              const traffic::World& aWorld,
              const http::MemberChange& aChange);

/**
 * @brief Asks the leader of the control group for all hosts.
 * @param aRunners Ways to the control thread.
 * @return The hosts, or `ControlUnavailable` when no leader answers.
 */
[[nodiscard]] tl::expected<std::vector<traffic::HostStatus>, Error>
ReportedHosts(Runners& aRunners);

} // namespace balsampoint::daemon
