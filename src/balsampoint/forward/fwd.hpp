#pragma once

/** @brief What to do with one request after each of its attempts. */
namespace balsampoint::forward {

class RetryBudget;
struct AttemptEnd;
struct Progress;

} // namespace balsampoint::forward
