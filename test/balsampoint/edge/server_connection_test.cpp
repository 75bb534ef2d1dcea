#include "balsampoint/edge/server_connection.hpp"

#include "fake/early_server.hpp"

#include <array>
#include <criterion/criterion.h>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <utility>

using namespace balsampoint;
using namespace balsampoint::edge;
using namespace std::chrono_literals;
using fake::Ending;

namespace {

constexpr Duration kPatience = 5s;
// The buffers of the kernel hold less.
constexpr std::size_t kLargeUpload = 16000000;
constexpr std::size_t kSmallUpload = 100;
const std::string kNoLength{ "HTTP/1.1 200 OK\r\n\r\n8 bytes." };

/** @brief When the end of a connection reaches the loop. */
enum class Arrival
{
  /** After the loop has read the answer. */
  AfterAnswer,
  /** Together with the answer, so that the write sees it before the read. */
  WithAnswer,
};

constexpr std::array kArrivals{ Arrival::AfterAnswer, Arrival::WithAnswer };

/** @brief A whole answer. */
struct Answer
{
  std::uint16_t status{};
  std::string body;
};

/** @brief Keeps a loop busy while a function runs and what it has sent
 * arrives. */
void
RunBesideBusyLoop(net::Loop& aLoop, const std::function<void()>& aFunction)
{
  std::promise<void> busy;
  std::promise<void> done;
  aLoop.Post([&] {
    busy.set_value();
    done.get_future().wait();
  });
  busy.get_future().wait();
  aFunction();
  std::this_thread::sleep_for(20ms);
  done.set_value();
}

/** @brief Sends an upload to a server that answers early; the answer, or
 * nothing if it is lost. */
std::optional<Answer>
Upload(const std::string& aAnswer,
       Ending aEnding,
       Arrival aArrival,
       std::size_t aSize = kLargeUpload)
{
  net::Loop loop;
  const bool together = aArrival == Arrival::WithAnswer;
  const auto run = [&](const std::function<void()>& aSend) {
    // The upload has filled the kernel's buffers by then.
    std::this_thread::sleep_for(20ms);
    if (together) {
      RunBesideBusyLoop(loop, aSend);
    } else {
      aSend();
    }
  };
  fake::EarlyServer server{
    0, { aAnswer, aEnding, together ? Duration{} : Duration{ 30ms }, run }
  };
  const ServerConnectionLimits limits;
  const auto connection = std::make_shared<ServerConnection>(
    loop.Context(), server.Address(), limits);
  std::promise<std::optional<Answer>> ended;
  connection->SetObserver([&](ServerSignal aSignal) {
    auto& parser = connection->ResponseParser();
    if (aSignal == ServerSignal::Connected) {
      connection->Send({ .bytes = "POST / HTTP/1.1\r\nHost: s\r\n"
                                  "Content-Length: " +
                                  std::to_string(aSize) + "\r\n\r\n" +
                                  std::string(aSize, 'u'),
                         .hasBody = true });
    } else if (aSignal == ServerSignal::Lost) {
      connection->SetObserver({});
      ended.set_value(std::nullopt);
    } else if (parser.Complete()) {
      const auto status = parser.Response().status;
      auto body = parser.TakeBody();
      connection->Close();
      ended.set_value(Answer{ status, std::move(body) });
    }
  });
  loop.Start();
  loop.Post([&] { connection->Connect(); });
  auto future = ended.get_future();
  const bool inTime = future.wait_for(kPatience) == std::future_status::ready;
  cr_expect(inTime);
  loop.Stop();
  return inTime ? future.get() : std::nullopt;
}

} // namespace

// Guards against a part of an answer without a length that counts as whole
// since a write, and not a read, has met the reset that broke it off.
Test(server_connection, a_reset_ends_no_answer_without_a_length)
{
  for (const auto arrival : kArrivals) {
    for (const auto ending :
         { Ending::Reset, Ending::CloseUnread, Ending::FinThenReset }) {
      cr_expect_not(Upload(kNoLength, ending, arrival).has_value(),
                    "ending %d, arrival %d",
                    static_cast<int>(ending),
                    static_cast<int>(arrival));
    }
    // The read meets the reset, as the upload was written before.
    cr_expect_not(
      Upload(kNoLength, Ending::Reset, arrival, kSmallUpload).has_value(),
      "arrival %d",
      static_cast<int>(arrival));
  }
}

// Guards against the loss of an answer without a length whose server has ended
// it in order and taken in the request.
Test(server_connection, a_fin_ends_an_answer_without_a_length)
{
  for (const auto arrival : kArrivals) {
    for (const auto& [ending, size] :
         { std::pair{ Ending::Fin, kLargeUpload },
           std::pair{ Ending::Fin, kSmallUpload },
           std::pair{ Ending::FinThenReset, kSmallUpload } }) {
      const auto answer = Upload(kNoLength, ending, arrival, size);
      cr_expect(answer && answer->body == "8 bytes.",
                "ending %d, arrival %d, %zu bytes",
                static_cast<int>(ending),
                static_cast<int>(arrival),
                size);
    }
  }
}

// Guards against the loss of a whole answer since the write of the request has
// failed before the answer was read.
Test(server_connection, a_whole_answer_outlives_a_failed_write)
{
  for (const std::string status : { "200 OK", "413 Too Large", "500 Error" }) {
    const auto text =
      "HTTP/1.1 " + status + "\r\nContent-Length: 8\r\n\r\n8 bytes.";
    for (const auto ending :
         { Ending::Reset, Ending::CloseUnread, Ending::FinThenReset }) {
      for (const auto arrival : kArrivals) {
        const auto answer = Upload(text, ending, arrival);
        cr_expect(answer && answer->body == "8 bytes.",
                  "%s, ending %d, arrival %d",
                  status.c_str(),
                  static_cast<int>(ending),
                  static_cast<int>(arrival));
      }
    }
  }
}

// Guards against the loss of a refusal whose server closes the connection with
// the request unread, and against a part of its text that counts as whole.
Test(server_connection, a_refusal_without_a_length_outlives_a_reset)
{
  for (const auto ending : { Ending::Reset,
                             Ending::CloseUnread,
                             Ending::FinThenReset,
                             Ending::Fin }) {
    const bool ordered =
      ending == Ending::FinThenReset || ending == Ending::Fin;
    for (const auto arrival : kArrivals) {
      const auto answer =
        Upload("HTTP/1.1 413 Too Large\r\n\r\ntoo large", ending, arrival);
      cr_expect(answer && answer->status == 413 &&
                  answer->body == (ordered ? "too large" : ""),
                "ending %d, arrival %d",
                static_cast<int>(ending),
                static_cast<int>(arrival));
      const auto failure =
        Upload("HTTP/1.1 500 Error\r\n\r\nfailed", ending, arrival);
      cr_expect_eq(failure.has_value(),
                   ending == Ending::Fin,
                   "500, ending %d, arrival %d",
                   static_cast<int>(ending),
                   static_cast<int>(arrival));
    }
  }
}
