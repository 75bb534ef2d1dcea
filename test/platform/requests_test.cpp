#include "dialect.hpp"

#include <chrono>
#include <criterion/criterion.h>
#include <string>

using namespace balsampoint;
using platform::Dialect;
using namespace std::chrono_literals;

namespace {

wire::RequestHead
Head()
{
  wire::RequestHead head{ .method = "POST", .target = "/x/2f" };
  head.fields.Add("Host", "a.example:8080");
  head.fields.Add("X-Request-Id", "r1");
  head.fields.Add("X-Model", "m");
  head.fields.Add("X-Token-Counts", "1460,80");
  head.fields.Add("X-Length-Hint", "33");
  head.fields.Add("Last-Event-Id", "12");
  head.fields.Add("X-Deadline-Ms", "20000");
  head.fields.Add("X-Api-Key", "secret");
  head.fields.Add("X-Tenant", "forged");
  head.fields.Add("Connection", "keep-alive, X-Drop");
  head.fields.Add("X-Drop", "1");
  head.fields.Add("Transfer-Encoding", "chunked");
  return head;
}

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

Test(requests, headers_are_read_into_parameters)
{
  const auto parameters = Dialect::ReadRequestParameters(Head());
  cr_assert(parameters.has_value());
  cr_assert_eq(parameters->host, "a.example");
  cr_assert_eq(*parameters->timeout, Duration{ 20s });
  cr_assert_eq(parameters->tokens->promptTokens, 1460.0);
  cr_assert_eq(*parameters->tokens->expectedAnswerTokens, 33.0);
  cr_assert_eq(*parameters->resumeAfter, 12U);
}

// Guards against a caller whose hint makes the reserved KV negative or no
// number, here and in the sums that other hosts receive.
Test(requests, a_length_hint_that_is_no_length_is_ignored)
{
  for (const auto* hint : { "nan", "inf", "-inf", "-1", "-1e308", "x" }) {
    wire::RequestHead head{ .method = "POST", .target = "/x/2f" };
    head.fields.Add("Host", "a.example");
    head.fields.Add("X-Request-Id", "r1");
    head.fields.Add("X-Token-Counts", "1460,80");
    head.fields.Add("X-Length-Hint", hint);
    const auto parameters = Dialect::ReadRequestParameters(head);
    cr_assert(parameters.has_value());
    cr_assert(parameters->tokens.has_value());
    cr_expect_not(parameters->tokens->expectedAnswerTokens.has_value());
  }
}

Test(requests, a_request_names_itself_exactly_once)
{
  auto head = Head();
  head.fields.Add("X-Request-Id", "r2");
  cr_assert_not(Dialect::ReadRequestParameters(head).has_value());
  wire::RequestHead unnamed{ .method = "GET", .target = "/x/2f" };
  unnamed.fields.Add("Host", "a.example");
  cr_assert_not(Dialect::ReadRequestParameters(unnamed).has_value());
  unnamed.fields.Add("X-Request-Id", "");
  cr_assert_not(Dialect::ReadRequestParameters(unnamed).has_value());
}

Test(requests, an_answer_is_described_by_its_headers)
{
  wire::ResponseHead head{ .status = 200 };
  cr_assert_eq(Dialect::ReadResponse(head).namedRequests, 0U);
  head.fields.Add("X-Request-Id", "r1");
  head.fields.Add("x-request-id", "r0");
  head.fields.Add("X-Response-Stamp", "s");
  head.fields.Add("Content-Encoding", "gzip");
  const auto metadata = Dialect::ReadResponse(head);
  cr_assert(metadata.request == "r1");
  cr_assert_eq(metadata.namedRequests, 2U);
  cr_assert_eq(metadata.authenticationCodes, 1U);
  cr_assert(metadata.hasContentCoding);
}

Test(requests, a_server_names_the_rate_that_it_takes)
{
  const auto limitOf = [](const std::string& aText) {
    wire::ResponseHead head{ .status = 200 };
    head.fields.Add("Server-Limit", aText);
    return Dialect::ReadResponse(head).rateLimit;
  };
  cr_assert_not(Dialect::ReadResponse({ .status = 200 }).rateLimit);
  cr_assert(limitOf("16.7") == 16.7);
  cr_assert(limitOf("0") == 0.0);
  for (const auto* text : { "", "-1", "inf", "nan", "3/s", "1 2" }) {
    cr_expect_not(limitOf(text), "%s", text);
  }
}

Test(requests, the_shared_parts_of_a_prompt_are_all_but_the_last)
{
  const auto partsOf = [](const std::string& aText) {
    auto head = Head();
    head.fields.Add("X-Prompt-Prefix", aText);
    return Dialect::ReadRequestParameters(head)->sharedParts;
  };
  const std::vector expected{ PromptPartId{ "5c1e07a2" },
                              PromptPartId{ "91bd3f06" } };
  cr_assert_eq(partsOf("5c1e07a2:800,91bd3f06:410,e4402b7d:250"), expected);
  cr_assert_eq(partsOf(" 5c1e07a2 , 91bd3f06:x,,e4402b7d"), expected);
  cr_assert(partsOf("e4402b7d:250").empty());
  cr_assert(partsOf("").empty());
  std::string many;
  for (int part = 0; part < 1000; ++part) {
    many += std::to_string(part) + ":1,";
  }
  cr_assert_eq(partsOf(many).size(), 32U);
}

Test(requests, with_two_hosts_or_an_invalid_deadline_are_rejected)
{
  auto twice = Head();
  twice.fields.Add("Host", "b.example");
  cr_assert_not(Dialect::ReadRequestParameters(twice));
  wire::RequestHead odd{ .method = "GET", .target = "/" };
  odd.fields.Add("Host", "a");
  odd.fields.Add("X-Deadline-Ms", "soon");
  cr_assert_not(Dialect::ReadRequestParameters(odd));
}

Test(requests, to_a_server_carry_the_headers_of_this_host)
{
  const auto head = Head();
  const std::vector<fleet::Hop> hops{
    { ServerId{ "i-1" }, Incarnation{ 1 }, "10.0.0.1:80", { 0, 20 } },
    { ServerId{ "i-2" }, Incarnation{ 1 }, "10.0.0.2:80", { 20, 80 } }
  };
  const auto text = Dialect::WriteRequest({ .head = head,
                                            .body = "abc",
                                            .remainingTime = 1500ms,
                                            .hops = hops,
                                            .workspace = WorkspaceId{ "t1" },
                                            .priority = 1,
                                            .resumeAfter = 14 });
  cr_assert(text.starts_with("POST /x/2f HTTP/1.1\r\n"));
  cr_expect(Contains(text, "X-Request-Id: r1\r\n"));
  cr_expect(Contains(text, "X-Token-Counts: 1460,80\r\n"));
  cr_expect(Contains(text, "X-Deadline-Ms: 1500\r\n"));
  cr_expect(Contains(text, "X-Tenant: t1\r\n"));
  cr_expect(Contains(text, "Last-Event-Id: 14\r\n"));
  cr_expect(Contains(text, "X-Expect-Instance: i-1\r\n"));
  cr_expect(
    Contains(text, "X-Hop-Count: 10.0.0.1:80=0-20,10.0.0.2:80=20-80\r\n"));
  cr_expect(Contains(text, "Content-Length: 3\r\n"));
  cr_expect_not(Contains(text, "secret"));
  cr_expect_not(Contains(text, "forged"));
  cr_expect_not(Contains(text, "X-Drop"));
  cr_expect_not(Contains(text, "Transfer-Encoding"));
  cr_expect(text.ends_with("\r\n\r\nabc"));
}

Test(requests, responses_state_whether_the_request_has_run)
{
  wire::ResponseHead head{ .status = 503 };
  cr_assert_not(Dialect::ReadResponse(head).notExecuted);
  head.fields.Add("X-Not-Executed", "1");
  head.fields.Add("At-Server", "10.0.0.2:80");
  head.fields.Add("X-Request-Id", "r1");
  const auto facts = Dialect::ReadResponse(head);
  cr_assert(facts.notExecuted);
  cr_assert_eq(*facts.atFault, "10.0.0.2:80");
  cr_assert_eq(*facts.request, "r1");
  cr_assert(Dialect::ReadResponse({ .status = 421 }).notExecuted);
}

Test(requests, a_server_states_that_it_is_leaving)
{
  wire::ResponseHead head{ .status = 200 };
  cr_assert_not(Dialect::ReadResponse(head).leaving);
  head.fields.Add("Server-Leaving", "1");
  cr_assert(Dialect::ReadResponse(head).leaving);
  head.status = 421;
  cr_assert_not(Dialect::ReadResponse(head).leaving, "another server");
}

Test(requests, a_server_states_for_how_long_it_wants_no_requests)
{
  const auto read = [](const std::string& aText, std::uint16_t aStatus = 503) {
    wire::ResponseHead head{ .status = aStatus };
    head.fields.Add("Date", "Sun, 06 Nov 1994 08:49:37 GMT");
    head.fields.Add("Retry-After", aText);
    return Dialect::ReadResponse(head).retryAfter;
  };
  cr_assert_eq(*read("3"), Duration{ 3s });
  cr_assert_eq(*read("0.25"), Duration{ 250ms });
  cr_assert_eq(*read("Sun, 06 Nov 1994 08:49:41 GMT"), Duration{ 4s });
  cr_assert_eq(*read("1e300"), Duration{ 1h });
  cr_assert_eq(*read("inf"), Duration{ 1h });
  for (const auto* text : { "-3", "0", "nan", "soon", "", "3s", "1 2" }) {
    cr_expect_not(read(text).has_value(), "%s", text);
  }
  cr_assert_not(read("Sun, 06 Nov 1994 08:49:30 GMT").has_value());
  cr_assert_not(read("3", 500).has_value());
}

// Guards against an overflow: the clock's nanoseconds end in 2262, and a later
// date was taken for one that is over.
Test(requests, a_server_states_a_date_beyond_the_clocks_range)
{
  const auto read = [](const std::string& aDate, const std::string& aText) {
    wire::ResponseHead head{ .status = 503 };
    head.fields.Add("Date", aDate);
    head.fields.Add("Retry-After", aText);
    return Dialect::ReadResponse(head).retryAfter;
  };
  const std::string now{ "Sun, 06 Nov 1994 08:49:37 GMT" };
  const std::string far{ "Fri, 31 Dec 9999 23:59:59 GMT" };
  const std::string old{ "Sat, 01 Jan 0001 00:00:00 GMT" };
  cr_assert_eq(*read(now, far), Duration{ 1h });
  cr_assert_eq(*read(old, now), Duration{ 1h });
  cr_expect_not(read(now, old).has_value());
  cr_expect_not(read(far, now).has_value());
}

Test(requests, refusals_carry_a_retry_after)
{
  auto error = MakeError(ErrorKind::NoServer, "no room");
  error.retryAfter = 250ms;
  const auto text = Dialect::WriteRefusal(error, false);
  cr_assert(text.starts_with("HTTP/1.1 503 "));
  cr_expect(Contains(text, "Retry-After: 0.250\r\n"));
  cr_expect(Contains(text, "Connection: close\r\n"));
}
