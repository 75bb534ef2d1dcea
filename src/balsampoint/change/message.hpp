#pragma once

#include "balsampoint/change/table.hpp"
#include "balsampoint/core/error.hpp"

#include <optional>
#include <variant>

namespace balsampoint::change {

/** @brief One try to bring a change to the leader. */
struct Submission
{
  Ticket ticket;
  AttemptNumber attempt;
  Change change;

  bool operator==(const Submission&) const = default;
};

/** @brief The answer to a `Submission`. */
struct SubmissionReply
{
  Ticket ticket;
  AttemptNumber attempt;
  /** Id of the change, since a restarted host uses its tickets again. */
  ChangeId change;
  /** Nothing when the try was refused and certainly not carried out. */
  std::optional<Answer> answer;
  /** The leader that the refusing host knows; empty if none. */
  HostId leader;

  bool operator==(const SubmissionReply&) const = default;
};

/** @brief Everything that hosts send to one another about changes. */
using Message = std::variant<Submission, SubmissionReply>;

} // namespace balsampoint::change
