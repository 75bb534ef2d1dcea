#pragma once

#include <cstdio>
#include <cstdlib>
#include <vector>

/**
 * @brief Stands in for Criterion under the thread sanitizer.
 *
 * Criterion runs tests in children that share an arena at a fixed address,
 * which the sanitizer's own memory layout does not allow. This header offers
 * the same macros and runs all tests one after the other in one process.
 */
namespace tsan {

/** @brief One test of the program. */
struct Case
{
  const char* suite;
  const char* name;
  void (*body)();
};

/** @brief All tests of the program. */
inline std::vector<Case>&
Cases()
{
  static std::vector<Case> cases;
  return cases;
}

/** @brief Adds a test to the list before `main` starts. */
struct Registration
{
  explicit Registration(Case aCase) { Cases().push_back(aCase); }
};

/** @brief Ends the program when a condition does not hold. */
inline void
Check(bool aHolds, const char* aText, const char* aFile, int aLine)
{
  if (aHolds) {
    return;
  }
  std::fprintf(stderr, "%s:%d: %s does not hold\n", aFile, aLine, aText);
  std::exit(1);
}

} // namespace tsan

#define Test(aSuite, aName, ...)                                               \
  static void aSuite##_##aName##_body();                                       \
  static const tsan::Registration aSuite##_##aName##_registration{             \
    { #aSuite, #aName, aSuite##_##aName##_body }                               \
  };                                                                           \
  static void aSuite##_##aName##_body()
#define cr_assert(aCondition, ...)                                             \
  tsan::Check(static_cast<bool>(aCondition), #aCondition, __FILE__, __LINE__)
#define cr_assert_not(aCondition, ...) cr_assert(!(aCondition))
#define cr_assert_eq(aLeft, aRight, ...) cr_assert((aLeft) == (aRight))
#define cr_assert_neq(aLeft, aRight, ...) cr_assert((aLeft) != (aRight))
#define cr_assert_lt(aLeft, aRight, ...) cr_assert((aLeft) < (aRight))
#define cr_assert_leq(aLeft, aRight, ...) cr_assert((aLeft) <= (aRight))
#define cr_assert_gt(aLeft, aRight, ...) cr_assert((aLeft) > (aRight))
#define cr_assert_geq(aLeft, aRight, ...) cr_assert((aLeft) >= (aRight))
#define cr_assert_null(aPointer, ...) cr_assert((aPointer) == nullptr)
#define cr_assert_not_null(aPointer, ...) cr_assert((aPointer) != nullptr)
#define cr_assert_fail(...) cr_assert(false)
#define cr_log_error(...)                                                      \
  static_cast<void>(std::fprintf(stderr, __VA_ARGS__))
#define cr_expect cr_assert
#define cr_expect_eq cr_assert_eq
#define cr_expect_gt cr_assert_gt
#define cr_expect_lt cr_assert_lt
#define cr_expect_not cr_assert_not
