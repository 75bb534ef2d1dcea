#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/number.hpp"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace balsampoint::ledger {

/** @brief An idempotency key, scoped to a workspace and a service. */
struct Key
{
  WorkspaceId workspace;
  ServiceId service;
  /** Text that the caller chose. */
  std::string value;

  auto operator<=>(const Key&) const = default;
};

/** @brief Identifies a claim; unique across hosts and restarts. */
struct ClaimId
{
  HostId host;
  Incarnation incarnation;
  /** Increases with each claim of one incarnation. */
  std::uint64_t number{};

  auto operator<=>(const ClaimId&) const = default;
};

/** @brief SHA-256 of a call's method, path and body. */
using Digest = std::array<std::byte, 32>;

/** @brief An HTTP header of an answer. */
struct Header
{
  std::string name;
  std::string value;

  auto operator<=>(const Header&) const = default;
};

/** @brief An answer of a backend server as the table stores it. */
struct StoredAnswer
{
  /** HTTP status code. */
  std::uint16_t status{};
  std::vector<Header> headers;
  std::string body;
  /** False if headers and body were too large and only the status is stored. */
  bool complete{ true };

  auto operator<=>(const StoredAnswer&) const = default;
};

} // namespace balsampoint::ledger
