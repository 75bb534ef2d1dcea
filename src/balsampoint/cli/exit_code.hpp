#pragma once

#include "balsampoint/core/error.hpp"

#include <cstdint>

namespace balsampoint::cli {

/** @brief How the program ends; docs/operations/command-line.md lists them. */
enum class ExitCode : std::uint8_t
{
  Success = 0,
  Failed = 1,
  Usage = 2,
  /** The configuration or settings have errors. */
  Invalid = 3,
  /** Another change has the number. */
  Conflict = 4,
  /** No host could be reached. */
  Unreachable = 5,
  /** A host refused. */
  Refused = 6,
  /** The change is accepted but not yet in force on every live host. */
  NotInForce = 7,
  /** The answer was lost: the command may have been carried out. */
  OutcomeUnknown = 8,
};

/**
 * @brief The exit code for a host's refusal.
 * @param aKind Kind of the refusal.
 * @return The code.
 */
[[nodiscard]] constexpr ExitCode
ExitCodeFor(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::InvalidConfiguration:
      return ExitCode::Invalid;
    case ErrorKind::Conflict:
      return ExitCode::Conflict;
    case ErrorKind::OutcomeUnknown:
      return ExitCode::OutcomeUnknown;
    default:
      return ExitCode::Refused;
  }
}

} // namespace balsampoint::cli
