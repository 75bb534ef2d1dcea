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

/** @brief An idempotency key; each workspace and service has its own. */
struct Key
{
  WorkspaceId workspace;
  ServiceId service;
  /** As the caller chose it. */
  std::string value;

  auto operator<=>(const Key&) const = default;
};

/** @brief Names one claim; no two claims ever have the same name. */
struct ClaimId
{
  HostId host;
  Incarnation incarnation;
  /** Rises with each claim of one incarnation. */
  std::uint64_t number{};

  auto operator<=>(const ClaimId&) const = default;
};

/** @brief SHA-256 over method, path and body of a call. */
using Digest = std::array<std::byte, 32>;

/** @brief One header of an answer. */
struct Header
{
  std::string name;
  std::string value;

  auto operator<=>(const Header&) const = default;
};

/** @brief An answer of a backend server as the table keeps it. */
struct StoredAnswer
{
  /** HTTP status code. */
  std::uint16_t status{};
  std::vector<Header> headers;
  std::string body;
  /** False when headers and body were too large to keep. */
  bool complete{ true };

  auto operator<=>(const StoredAnswer&) const = default;
};

} // namespace balsampoint::ledger
