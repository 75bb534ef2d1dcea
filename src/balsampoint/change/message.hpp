#pragma once

#include "balsampoint/change/table.hpp"
#include "balsampoint/core/error.hpp"

#include <optional>
#include <variant>

namespace balsampoint::change {

/** @brief One attempt to submit a change to the leader. */
struct Submission
{
  Ticket ticket;
  AttemptNumber attempt;
  Change change;

  bool operator==(const Submission&) const = default;
};

/** @brief Answers a `Submission`. */
struct SubmissionReply
{
  Ticket ticket;
  AttemptNumber attempt;
  /** Id of the change; the ticket alone is ambiguous, since a restarted host
   * reuses its tickets. */
  ChangeId change;
  /** Absent if the attempt was refused and was certainly not carried out. */
  std::optional<Answer> answer;
  /** Leader known to the replying host; empty if none. */
  HostId leader;

  bool operator==(const SubmissionReply&) const = default;
};

/** @brief Message between two hosts about changes. */
using Message = std::variant<Submission, SubmissionReply>;

} // namespace balsampoint::change
