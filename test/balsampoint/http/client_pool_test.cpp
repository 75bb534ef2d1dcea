#include "balsampoint/http/client_pool.hpp"

#include "fake/early_server.hpp"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <chrono>
#include <criterion/criterion.h>
#include <string>
#include <string_view>
#include <thread>

using namespace balsampoint;
using namespace balsampoint::http;
using fake::Ending;

namespace {

constexpr Duration kPatience = std::chrono::seconds{ 5 };

/** @brief Answer to a call of a server that sends some bytes, then waits until
 * the caller closes the connection. */
tl::expected<ClientResponse, CallFailure>
CallServer(std::string_view aBytes, Duration aTimeout = kPatience)
{
  Poco::Net::ServerSocket listener{ Poco::Net::SocketAddress{ "127.0.0.1:0" } };
  std::thread server{ [&] {
    auto socket = listener.acceptConnection();
    std::array<char, 4096> buffer{};
    socket.receiveBytes(buffer.data(), buffer.size());
    socket.sendBytes(aBytes.data(), static_cast<int>(aBytes.size()));
    try {
      socket.receiveBytes(buffer.data(), buffer.size());
    } catch (const Poco::Exception&) {
      // The caller reset the connection.
    }
  } };
  ClientPool pool;
  const ClientRequest request{ .method = "GET",
                               .path = "/",
                               .reuseConnection = false };
  auto response = pool.Call(listener.address().toString(), request, aTimeout);
  server.join();
  return response;
}

/** @brief Answer to an upload of a server that answers early. */
tl::expected<ClientResponse, CallFailure>
Upload(const std::string& aAnswer, Ending aEnding, Duration aPause)
{
  const fake::EarlyServer server{ 0, { aAnswer, aEnding, aPause } };
  ClientPool pool;
  const ClientRequest request{ .method = "POST",
                               .path = "/",
                               .body = std::string(16000000, 'u'),
                               .reuseConnection = false };
  return pool.Call(server.Address(), request, kPatience);
}

/** @brief Answer to a call of a server that ends its connection in order behind
 * some bytes. */
tl::expected<ClientResponse, CallFailure>
CallOnce(const std::string& aBytes)
{
  const fake::EarlyServer server{ 0, { aBytes, Ending::Fin } };
  ClientPool pool;
  return pool.Call(
    server.Address(), { .method = "GET", .path = "/" }, kPatience);
}

constexpr std::array<Duration, 2> kPauses{ Duration{},
                                           std::chrono::milliseconds{ 30 } };

} // namespace

// Guards against an answer that is lost for the interim one before it.
Test(client_pool, waits_for_the_answer_after_an_interim_one)
{
  const auto response =
    CallServer("HTTP/1.1 100 Continue\r\n\r\n"
               "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  cr_assert(response.has_value());
  cr_expect_eq(response->status, 200);
  cr_expect_eq(response->body, "ok");
}

// Guards against a number that is believed since it parses.
Test(client_pool, takes_no_number_for_a_status)
{
  for (const std::string number :
       { "000", "0", "00", "099", "101", "102", "199", "600", "999", "1000" }) {
    const auto response =
      CallServer("HTTP/1.1 " + number + " X\r\nContent-Length: 0\r\n\r\n");
    cr_expect_not(response.has_value(), "%s", number.c_str());
    cr_expect(response.has_value() || response.error().maybeSent);
    cr_expect(response.has_value() || !response.error().timedOut);
  }
}

// Guards against a call that waits until its time limit, or longer, for a
// server that sends interim answers without end.
Test(client_pool, gives_up_after_interim_answers_without_end)
{
  std::string endless;
  for (int count = 0; count < 100; ++count) {
    endless += "HTTP/1.1 100 Continue\r\n\r\n";
  }
  const auto response = CallServer(endless);
  cr_assert_not(response.has_value());
  cr_assert_not(response.error().timedOut);
}

// Guards against a part of an answer without a length that counts as whole
// since a write, and not a read, has met the reset that broke it off.
Test(client_pool, a_reset_ends_no_answer_without_a_length)
{
  const std::string part{ "HTTP/1.1 200 OK\r\n\r\n8 bytes." };
  for (const auto ending :
       { Ending::Reset, Ending::CloseUnread, Ending::FinThenReset }) {
    for (const auto pause : kPauses) {
      const auto response = Upload(part, ending, pause);
      cr_expect_not(response.has_value(),
                    "ending %d, pause %lld",
                    static_cast<int>(ending),
                    static_cast<long long>(pause.count()));
    }
  }
}

// Guards against the loss of an answer without a length whose server has ended
// it in order and taken in the request.
Test(client_pool, a_fin_ends_an_answer_without_a_length)
{
  for (const auto pause : kPauses) {
    const auto response =
      Upload("HTTP/1.1 200 OK\r\n\r\n8 bytes.", Ending::Fin, pause);
    cr_expect(response && response->body == "8 bytes.",
              "pause %lld",
              static_cast<long long>(pause.count()));
  }
}

// Guards against the loss of an early answer since the write of the request has
// failed before the answer was read.
Test(client_pool, early_answers_outlive_a_failed_write)
{
  for (const auto ending :
       { Ending::Reset, Ending::CloseUnread, Ending::FinThenReset }) {
    for (const auto pause : kPauses) {
      const auto whole = Upload(
        "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n8 bytes.", ending, pause);
      const auto refusal =
        Upload("HTTP/1.1 413 Too Large\r\nContent-Length: 9\r\n\r\ntoo large",
               ending,
               pause);
      const auto bare =
        Upload("HTTP/1.1 413 Too Large\r\n\r\ntoo large", ending, pause);
      const auto form = std::to_string(static_cast<int>(ending)) + ", pause " +
                        std::to_string(pause.count());
      cr_expect(whole && whole->body == "8 bytes.", "ending %s", form.c_str());
      cr_expect(refusal && refusal->body == "too large",
                "413 with a length, ending %s",
                form.c_str());
      cr_expect(bare && bare->status == 413,
                "413 without a length, ending %s",
                form.c_str());
    }
  }
}

// Guards against a chunked answer that breaks off and counts as whole, or whose
// chunks aren't framed as their sizes say.
Test(client_pool, an_answer_cut_in_its_chunks_is_lost)
{
  const std::string head{
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
  };
  const std::string body{ "5\r\nhello\r\n0\r\n\r\n" };
  const auto whole = CallOnce(head + body);
  cr_assert(whole && whole->body == "hello");
  for (std::size_t cut = 0; cut < body.size(); ++cut) {
    cr_expect_not(
      CallOnce(head + body.substr(0, cut)).has_value(), "cut at %zu", cut);
  }
  cr_expect_not(CallOnce(head + "5\r\nhelloxx0\r\n\r\n").has_value());
  cr_expect_not(CallOnce(head + "x\r\nhello\r\n0\r\n\r\n").has_value());
}

// Guards against a line that is no field and is passed on as one, or that hides
// where the body ends.
Test(client_pool, an_answer_with_a_name_that_is_no_token_is_lost)
{
  const std::string head{ "HTTP/1.1 200 OK\r\n" };
  for (const std::string line : { "X Odd: 1",
                                  " X-Odd: 1",
                                  "X-Odd : 1",
                                  "X\x01Odd: 1",
                                  "X\x7fOdd: 1",
                                  "X\x80Odd: 1",
                                  ": 1" }) {
    const auto length = head + "Content-Length: 5\r\n";
    cr_expect_not(CallOnce(length + line + "\r\n\r\nhello").has_value(),
                  "%s",
                  line.c_str());
    cr_expect_not(CallOnce(head +
                           "Transfer-Encoding: chunked\r\n\r\n"
                           "5\r\nhello\r\n0\r\n" +
                           line + "\r\n\r\n")
                    .has_value(),
                  "trailer %s",
                  line.c_str());
  }
  using namespace std::string_literals;
  for (const auto& line : { "Content Length: 9"s,
                            "Content-Length : 9"s,
                            "Content\0-Length: 9"s,
                            "Transfer-Encoding : chunked"s }) {
    cr_expect_not(
      CallOnce(head + line + "\r\n\r\nhello").has_value(), "%s", line.c_str());
  }
}

// Guards against bytes behind an answer that the next call on the connection
// gets as its own.
Test(client_pool, a_connection_with_bytes_behind_an_answer_is_not_used_again)
{
  const fake::EarlyServer server{
    0,
    { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother",
      Ending::Fin }
  };
  ClientPool pool;
  const ClientRequest request{ .method = "GET", .path = "/" };
  for (int call = 0; call < 2; ++call) {
    const auto response = pool.Call(server.Address(), request, kPatience);
    cr_expect(!response || response->body == "first");
  }
}
