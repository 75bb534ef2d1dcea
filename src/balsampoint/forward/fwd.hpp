#pragma once

/** @brief Decides on a retry or the outcome after each attempt of a request. */
namespace balsampoint::forward {

class RetryBudget;
struct AnswerClaims;
struct AttemptEnd;
struct Progress;

} // namespace balsampoint::forward
