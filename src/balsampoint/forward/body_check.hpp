#pragma once

#include <cstdint>
#include <string_view>

namespace balsampoint::forward {

/** @brief What follows from the head of another answer inside a body. */
struct InnerAnswer
{
  /** Whether its head is complete. */
  bool complete{ false };
  /** Whether it names a request or carries an authentication code; a body may
   * quote any other head. */
  bool identified{ false };
  /** Whether it repeats head and body of the answer around it. */
  bool repeatsAnswer{ false };
  /** Whether what follows it repeats what precedes it. */
  bool repeatsBody{ false };
  /** Whether the answer around it ends with its connection. */
  bool endsByClose{ false };
  /** Whether the answer around it has a length, which bytes of another writer
   * use up. */
  bool hasLength{ false };
  /** Whether bytes follow the answer around it that begin no other one. */
  bool followed{ false };
};

/** @brief Whether a body is that of one answer. */
enum class BodyVerdict : std::uint8_t
{
  /** All of it belongs to the answer. */
  Whole,
  /** What precedes the inner head belongs to the answer, the rest is its second
   * copy. */
  SentTwice,
  /** Parts of several answers. */
  Mixed,
};

/**
 * @brief Decides whether a body that holds the head of an answer is that of one
 * answer.
 *
 * A server that answers twice may write the second copy before the end of the
 * connection, where that is the end of the body, or between two parts of
 * another answer.
 * @param aInner The first head inside the body.
 */
[[nodiscard]] BodyVerdict
CheckBody(const InnerAnswer& aInner);

/**
 * @brief Describes a verdict, for logs and errors.
 * @param aVerdict The verdict.
 */
[[nodiscard]] std::string_view
Describe(BodyVerdict aVerdict);

} // namespace balsampoint::forward
