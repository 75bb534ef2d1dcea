#include "balsampoint/cli/query/explain.hpp"

#include <criterion/criterion.h>
#include <sstream>

using namespace balsampoint::cli;

namespace {

constexpr const char* kLog =
  R"(12.1 front-2 {"time":"2026-04-06T01:16:00.310Z","host":"10.2.0.4","event":"request_ended","request":"q1","how":"refused","error":"no_server","detail":"no server can run layer 72; 3 full"}
{"time":"2026-04-06T01:16:00.200Z","host":"10.2.0.4","event":"attempt_failed","request":"q1","reason":"a server of the chain is lost"}
{"time":"2026-04-06T01:16:00.190Z","host":"10.2.0.4","event":"server_unreachable","server":"i-9"}
{"time":"2026-04-06T01:16:00.195Z","host":"10.2.0.5","event":"server_unreachable","server":"i-9"}
{"time":"2026-04-06T01:16:00.200Z","host":"10.2.0.4","event":"request_ended","request":"q2","how":"answered"}
no object at all
{"broken":
)";

} // namespace

Test(explain, gathers_a_request_and_what_its_host_believed)
{
  std::istringstream logs{ kLog };
  std::ostringstream text;
  cr_assert_eq(Explain("q1", logs, text), ExitCode::Success);
  const auto out = text.str();
  const auto lost = out.find("server_unreachable");
  const auto failed = out.find("attempt_failed");
  const auto ended = out.find("request_ended");
  cr_assert_lt(lost, failed);
  cr_assert_lt(failed, ended);
  cr_assert_eq(out.find("10.2.0.5"), std::string::npos);
  cr_assert_eq(out.find("q2"), std::string::npos);
}

Test(explain, fails_where_no_line_names_the_request)
{
  std::istringstream logs{ kLog };
  std::ostringstream text;
  cr_assert_neq(Explain("q3", logs, text), ExitCode::Success);
  cr_assert(text.str().empty());
}
