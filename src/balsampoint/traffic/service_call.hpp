#pragma once

#include "balsampoint/ledger/call.hpp"
#include "balsampoint/ledger/module.hpp"
#include "balsampoint/retry/state.hpp"

#include <concepts>
#include <string>

namespace balsampoint::traffic {

/** @brief One call of a plain service, free of its encoding. */
struct ServiceCall
{
  WorkspaceId workspace;
  ServiceId service;
  bool idempotent{ false };
  Instant deadline{};
};

/** @brief What one attempt brought. */
struct ServiceReply
{
  retry::AttemptResult result{};
  /** Set when the server answered. */
  ledger::StoredAnswer answer;
  /** Set when it did not. */
  Error error;
};

/**
 * @brief Sends a call to a server and blocks until it ends.
 * @tparam T Type to test.
 */
template<typename T>
concept ServiceClient =
  requires(T& aClient, const std::string& aAddress, Instant aDeadline) {
    {
      aClient.Call(aAddress, aDeadline)
    } -> std::same_as<ServiceReply>;
  };

/**
 * @brief Chooses servers for attempts, and replicates commands on keys.
 * @tparam T Type to test.
 */
template<typename T>
concept ServiceControl = requires(T& aControl,
                                  const retry::AttemptRequested& aWanted,
                                  const retry::AttemptEnded& aEnded,
                                  const ledger::Propose& aPropose,
                                  const ledger::ProposeDetached& aDetached,
                                  const ledger::Wait& aWait) {
  {
    aControl.Want(aWanted)
  } -> std::same_as<tl::expected<retry::AttemptGranted, Error>>;
  {
    aControl.End(aEnded)
  } -> std::same_as<void>;
  {
    aControl.Run(aPropose)
  } -> std::same_as<tl::expected<ledger::Outcome, ledger::CommandFailed>>;
  {
    aControl.Run(aDetached)
  } -> std::same_as<void>;
  {
    aControl.Run(aWait)
  } -> std::same_as<void>;
};

} // namespace balsampoint::traffic
