#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/time.hpp"
#include "balsampoint/exchange/server_break.hpp"
#include "balsampoint/fleet/chain.hpp"
#include "balsampoint/forward/retry_budget.hpp"

#include <concepts>
#include <set>

namespace balsampoint::exchange {

/**
 * @brief What other modules know that the decisions on a request need while an
 * event is handled: the evidence of crashes, the budget of retries, and room at
 * other servers.
 */
template<typename T>
concept Surroundings = requires(T& aThis,
                                const T& aConst,
                                forward::RetryPurpose aPurpose,
                                const fleet::Hop& aServer,
                                ServerBreak aBreak,
                                const std::set<ServerId>& aServers) {
  // Takes a retry from the budget, if it allows one.
  {
    aThis.TakeRetry(aPurpose)
  } -> std::same_as<bool>;
  // Records that a server broke the connection of the attempt.
  {
    aThis.RecordBreak(aServer, aBreak)
  } -> std::same_as<void>;
  // Whether another server may be given the request from its beginning.
  {
    aConst.MayRetry()
  } -> std::same_as<bool>;
  // Whether another server may continue the answer.
  {
    aConst.MayResume()
  } -> std::same_as<bool>;
  // Whether a retry has to wait for `RepeatDelay`.
  {
    aConst.MustWait()
  } -> std::same_as<bool>;
  // Whether the request may be sent again after that wait.
  {
    aConst.MayRepeat()
  } -> std::same_as<bool>;
  // Whether the request, or its prompt, is in quarantine.
  {
    aConst.InQuarantine()
  } -> std::same_as<bool>;
  {
    aConst.RepeatDelay()
  } -> std::same_as<Duration>;
  // Whether servers without the failed ones, among the allowed ones, have room.
  {
    aThis.HasRoom(aServers, aServers)
  } -> std::same_as<bool>;
};

} // namespace balsampoint::exchange
