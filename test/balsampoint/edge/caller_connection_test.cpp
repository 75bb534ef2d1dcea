#include "balsampoint/edge/acceptor.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <criterion/criterion.h>
#include <cstdint>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace balsampoint;
using namespace balsampoint::edge;
using namespace std::chrono_literals;

namespace {

constexpr const char* kAddress = "127.0.46.1:24946";

/** Tells how the first request ended. */
class Host
{
public:
  using Acceptor = BasicAcceptor<Host>;

  /** @param aBudget Bytes that connections may hold; 0 for any number. */
  explicit Host(std::uint64_t aBudget = 0)
  {
    if (aBudget > 0) {
      mAccount = MemoryAccount::Make(mLoop.Context(),
                                     { .budgetBytes = aBudget,
                                       .reservedBytes = aBudget / 2,
                                       .smallBytes = aBudget / 10 },
                                     65536);
      mLimits.memory = mAccount.get();
    }
    mLimits.requestTimeout = 100ms;
    mLimits.bodyTimeout = 5s;
    mLimits.bodyRate = 1000;
    cr_assert(mAcceptor.Listen(kAddress).has_value());
    mLoop.Start();
  }

  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;
  Host(Host&&) = delete;
  Host& operator=(Host&&) = delete;

  ~Host() { mLoop.Stop(); }

  void OnRequest(const Acceptor::Pointer& /*aCaller*/, IncomingRequest aRequest)
  {
    mEnd.set_value(std::to_string(aRequest.body.size()));
  }

  void OnInvalidRequest(const Acceptor::Pointer& /*aCaller*/,
                        const Error& aError)
  {
    mEnd.set_value(std::string{ AnswerFor(aError.kind).name });
  }

  void OnCallerDisconnected(const Acceptor::Pointer& /*aCaller*/) {}

  [[nodiscard]] const CallerConnectionLimits& Limits() const { return mLimits; }

  /** Sends a body of 2,000 bytes in two parts; returns how it ended. */
  std::string Post(std::size_t aFirst, Duration aPause)
  {
    boost::asio::io_context context;
    net::Tcp::socket socket{ context };
    socket.connect(*net::ParseAddress(kAddress));
    const std::string head{ "POST / HTTP/1.1\r\nContent-Length: 2000\r\n\r\n" };
    boost::asio::write(socket,
                       boost::asio::buffer(head + std::string(aFirst, 'x')));
    std::this_thread::sleep_for(aPause);
    boost::system::error_code ignored;
    const std::string rest(2000 - aFirst, 'x');
    boost::asio::write(socket, boost::asio::buffer(rest), ignored);
    return mEnd.get_future().get();
  }

  static constexpr std::size_t kMaxConnections = 10;

private:
  net::Loop mLoop;
  std::shared_ptr<MemoryAccount> mAccount;
  CallerConnectionLimits mLimits;
  std::promise<std::string> mEnd;
  Acceptor mAcceptor{ *this, mLoop.Context(), kMaxConnections };
};

} // namespace

// Guards against clients that hold all connections and send nothing, or a part
// of a head, so that nobody else is served.
Test(caller_connection, one_that_waits_for_a_head_gives_way_to_a_new_one)
{
  for (const std::string beginning : { "", "POST / HTTP/1.1\r\n" }) {
    Host host;
    boost::asio::io_context context;
    std::vector<net::Tcp::socket> sockets;
    for (std::size_t number = 0; number < Host::kMaxConnections; ++number) {
      auto& socket = sockets.emplace_back(context);
      socket.connect(*net::ParseAddress(kAddress));
      boost::asio::write(socket, boost::asio::buffer(beginning));
    }
    cr_assert_eq(host.Post(2000, 0ms), "2000");
  }
}

// Guards against a body that keeps its memory while hardly a byte arrives.
Test(caller_connection, a_body_below_the_least_rate_ends_in_a_time_out)
{
  Host host;
  cr_assert_eq(host.Post(1, 1s), "request_timeout");
}

// Guards against a body that is given up although it arrives fast enough, only
// since the time for a head has passed.
Test(caller_connection, a_body_may_take_longer_than_a_head)
{
  Host host;
  cr_assert_eq(host.Post(1900, 300ms), "2000");
}

// Guards against a request that is kept, or is cut without an answer, although
// the host has no memory for it and no server has it.
Test(caller_connection, a_request_over_the_budget_is_refused_as_not_run)
{
  Host host{ 1000 };
  cr_assert_eq(host.Post(1900, 300ms), "overloaded");
}

// Guards against a request within the budget that is refused.
Test(caller_connection, a_request_within_the_budget_is_served)
{
  Host host{ 100000 };
  cr_assert_eq(host.Post(1900, 300ms), "2000");
}
