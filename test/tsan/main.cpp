#include <criterion/criterion.h>

#include <fnmatch.h>
#include <string>

namespace {

/** @brief Whether a pattern, as Criterion reads it, selects a test. */
bool
IsSelected(const tsan::Case& aCase, const char* aPattern)
{
  if (aPattern == nullptr || *aPattern == '\0') {
    return true;
  }
  const auto name = std::string{ aCase.suite } + "/" + aCase.name;
  return fnmatch(aPattern, name.c_str(), FNM_EXTMATCH) == 0;
}

} // namespace

int
main()
{
  const char* pattern = std::getenv("CRITERION_TEST_PATTERN");
  std::size_t passed = 0;
  for (const auto& test : tsan::Cases()) {
    if (!IsSelected(test, pattern)) {
      continue;
    }
    std::printf("%s::%s\n", test.suite, test.name);
    test.body();
    ++passed;
  }
  std::printf("%zu passed, 0 failed\n", passed);
  return 0;
}
