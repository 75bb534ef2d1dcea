#include <criterion/criterion.h>

int
main()
{
  for (const auto& test : tsan::Cases()) {
    std::printf("%s::%s\n", test.suite, test.name);
    test.body();
  }
  std::printf("%zu passed, 0 failed\n", tsan::Cases().size());
  return 0;
}
