#include "balsampoint/cli/internal/printer.hpp"

#include <criterion/criterion.h>
#include <sstream>

using namespace balsampoint::cli;

namespace {

std::string
Printed(const Json& aResult, Output aOutput)
{
  std::ostringstream stream;
  Print(stream, aResult, aOutput);
  return stream.str();
}

} // namespace

Test(printer, aligns_items_under_the_names_of_all_their_fields)
{
  const auto result = Json::parse(
    R"([{"host":"colombo-a-1","number":4},{"host":"b","zones":["x","y"]}])");
  cr_assert(Printed(result, Output::Table) == "host         number  zones\n"
                                              "colombo-a-1  4       -\n"
                                              "b            -       x,y\n");
}

Test(printer, prints_json_whole)
{
  const Json result{ { "number", 4 } };
  cr_assert(Json::parse(Printed(result, Output::Json)) == result);
}
