#include "balsampoint/edge/engine_control_client.hpp"

#include "fake/early_server.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <future>
#include <optional>
#include <string>
#include <thread>

using namespace balsampoint;
using namespace balsampoint::edge;

namespace {

constexpr Duration kPatience = std::chrono::seconds{ 10 };

/** @brief Response to a call of an engine that sends some bytes, then waits
 * until the caller closes the connection. */
std::optional<EngineResponse>
CallEngine(const std::string& aBytes, Duration aLimit = kPatience)
{
  boost::asio::io_context context;
  net::Tcp::acceptor acceptor{ context,
                               { boost::asio::ip::address_v4::loopback(), 0 } };
  std::thread engine{ [&] {
    boost::system::error_code error;
    auto socket = acceptor.accept(error);
    std::string request;
    boost::asio::read_until(
      socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", error);
    boost::asio::write(socket, boost::asio::buffer(aBytes), error);
    char byte{};
    socket.read_some(boost::asio::buffer(&byte, 1), error);
  } };
  std::promise<std::optional<EngineResponse>> response;
  net::Loop loop;
  EngineControlClient client{ loop, {} };
  loop.Start();
  client.Call(
    "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
    "POST /order HTTP/1.1\r\nHost: e\r\nContent-Length: 0\r\n\r\n",
    aLimit,
    [&](auto aResponse) { response.set_value(std::move(aResponse)); });
  auto result = response.get_future().get();
  engine.join();
  loop.Stop();
  return result;
}

} // namespace

Test(engine_control_client, returns_the_response)
{
  const auto response =
    CallEngine("HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\nok");
  cr_assert(response.has_value());
  cr_expect_eq(response->status, 202);
  cr_expect_eq(response->body, "ok");
}

// Guards against an accepted order that counts as refused.
Test(engine_control_client, waits_for_the_response_after_interim_ones)
{
  const auto response =
    CallEngine("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
               "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
  cr_assert(response.has_value());
  cr_expect_eq(response->status, 202);
}

// Guards against an order of unknown outcome that counts as refused.
Test(engine_control_client, takes_no_interim_response_for_the_final_one)
{
  cr_assert_not(CallEngine("HTTP/1.1 100 Continue\r\n\r\n",
                           std::chrono::milliseconds{ 300 })
                  .has_value());
  cr_assert_not(
    CallEngine("HTTP/1.1 101 Switching Protocols\r\n\r\n").has_value());
}

// Guards against a part of a response without a length that counts as whole,
// whether a write or a read meets the reset that broke it off.
Test(engine_control_client, a_reset_ends_no_response_without_a_length)
{
  using fake::Ending;
  for (const auto ending : { Ending::Reset, Ending::CloseUnread }) {
    for (const std::size_t size : { 100, 16000000 }) {
      if (ending == Ending::CloseUnread && size == 100) {
        // The server has read it whole, and ends in order.
        continue;
      }
      const fake::EarlyServer engine{
        0,
        { "HTTP/1.1 200 OK\r\n\r\n{\"busy\":false}",
          ending,
          std::chrono::milliseconds{ 30 } }
      };
      net::Loop loop;
      EngineControlClient client{ loop, {} };
      std::promise<std::optional<EngineResponse>> response;
      loop.Start();
      client.Call(
        engine.Address(),
        "POST /order HTTP/1.1\r\nHost: e\r\nContent-Length: " +
          std::to_string(size) + "\r\n\r\n" + std::string(size, 'u'),
        kPatience,
        [&](auto aResponse) { response.set_value(std::move(aResponse)); });
      cr_expect_not(response.get_future().get().has_value(),
                    "ending %d, %zu bytes",
                    static_cast<int>(ending),
                    size);
      loop.Stop();
    }
  }
}

// Guards against a number that is believed since it parses: an order counted as
// refused, or waited for an answer until its time limit.
Test(engine_control_client, takes_no_number_for_a_status)
{
  for (const std::string number :
       { "000", "0", "00", "099", "600", "999", "1000", "0202" }) {
    const auto begin = std::chrono::steady_clock::now();
    cr_expect_not(
      CallEngine("HTTP/1.1 " + number + " X\r\nContent-Length: 0\r\n\r\n")
        .has_value(),
      "%s",
      number.c_str());
    cr_expect_lt(std::chrono::steady_clock::now() - begin,
                 kPatience,
                 "%s",
                 number.c_str());
  }
}

// Guards against an order that waits until its time limit for an engine that
// sends interim responses without end.
Test(engine_control_client, gives_up_after_interim_responses_without_end)
{
  std::string endless;
  for (int count = 0; count < 100; ++count) {
    endless += "HTTP/1.1 102 Processing\r\n\r\n";
  }
  const auto begin = std::chrono::steady_clock::now();
  cr_assert_not(CallEngine(endless).has_value());
  cr_assert_lt(std::chrono::steady_clock::now() - begin, kPatience);
}
