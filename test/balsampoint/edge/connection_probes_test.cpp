#include "balsampoint/edge/connection_probes.hpp"

#include <chrono>
#include <criterion/criterion.h>
#include <future>
#include <linux/filter.h>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <thread>

using namespace balsampoint;
using namespace balsampoint::edge;

namespace {

constexpr Duration kPatience = std::chrono::seconds{ 10 };

/** @brief A server's kernel that accepts connections; no program answers. */
class Listener
{
public:
  Listener()
    : mAcceptor{ mContext, { boost::asio::ip::address_v4::loopback(), 0 } }
  {
  }

  /** @brief Drops the bytes that arrive on established connections. */
  void DropBytes() { Drop(mAcceptor.native_handle()); }

  /** @brief Accepts one connection and drops what arrives on it after a time.
   */
  void DropBytesAfter(Duration aTime)
  {
    mCut = std::thread{ [this, aTime] {
      mAccepted.emplace(mAcceptor.accept());
      std::this_thread::sleep_for(aTime);
      Drop(mAccepted->native_handle());
    } };
  }

  /** @brief Accepts one connection and resets it once bytes arrive on it. */
  void ResetOnBytes()
  {
    mCut = std::thread{ [this] {
      mAccepted.emplace(mAcceptor.accept());
      mAccepted->wait(net::Tcp::socket::wait_read);
      net::ResetConnection(*mAccepted);
    } };
  }

  ~Listener()
  {
    if (mCut.joinable()) {
      mCut.join();
    }
  }

  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  Listener(Listener&&) = delete;
  Listener& operator=(Listener&&) = delete;

  [[nodiscard]] std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }

private:
  static void Drop(int aSocket)
  {
    // A TCP header holds its own length in words in the upper half of its 13th
    // byte; segments without data are as long as their header.
    constexpr unsigned kLengthMask = 60;
    sock_filter code[]{ BPF_STMT(BPF_LD | BPF_W | BPF_LEN, 0),
                        BPF_STMT(BPF_MISC | BPF_TAX, 0),
                        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, 12),
                        BPF_STMT(BPF_ALU | BPF_RSH | BPF_K, 2),
                        BPF_STMT(BPF_ALU | BPF_AND | BPF_K, kLengthMask),
                        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_X, 0, 0, 1),
                        BPF_STMT(BPF_RET | BPF_K, 0xffff),
                        BPF_STMT(BPF_RET | BPF_K, 0) };
    const sock_fprog program{ std::size(code), code };
    cr_assert_eq(
      setsockopt(
        aSocket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program),
      0);
  }

  boost::asio::io_context mContext;
  net::Tcp::acceptor mAcceptor;
  std::optional<net::Tcp::socket> mAccepted;
  std::thread mCut;
};

ProbeResult
Probe(const Listener& aListener, reach::Proof aProof)
{
  net::Loop loop;
  ConnectionProbes probes{ loop.Context() };
  std::promise<ProbeResult> result;
  probes.Probe(
    aListener.Address(),
    {},
    [&](ProbeResult aResult) { result.set_value(aResult); },
    aProof);
  loop.Start();
  auto future = result.get_future();
  cr_assert(future.wait_for(kPatience) == std::future_status::ready);
  loop.Stop();
  return future.get();
}

} // namespace

// Guards against a link that counts as up since the kernel, or something on the
// way, accepts connections on which nothing passes.
Test(connection_probes, bytes_without_acknowledgement_are_no_proof)
{
  Listener listener;
  listener.DropBytes();
  cr_expect(Probe(listener, reach::Proof::Acknowledged) == ProbeResult::Silent);
  cr_expect(Probe(listener, reach::Proof::Open) == ProbeResult::Accepts);
}

// Guards against slow servers that are taken for a lost link: their kernel
// acknowledges what they haven't read.
Test(connection_probes, a_server_that_reads_nothing_is_proof)
{
  const Listener listener;
  cr_expect(Probe(listener, reach::Proof::Acknowledged) ==
            ProbeResult::Accepts);
}

// Guards against a host that finds its link up while it is cut off, since the
// first bytes of a connection still passed.
Test(connection_probes, first_bytes_that_pass_are_no_lasting_proof)
{
  Listener listener;
  listener.DropBytesAfter(std::chrono::milliseconds{ 80 });
  cr_expect(Probe(listener, reach::Proof::Acknowledged) == ProbeResult::Silent);
}

// Guards against a host that finds its link up while what cuts it off resets
// each connection at its first bytes: it took sound requests for ones that
// crash servers.
Test(connection_probes, a_reset_after_the_first_bytes_is_no_proof)
{
  Listener listener;
  listener.ResetOnBytes();
  cr_expect(Probe(listener, reach::Proof::Acknowledged) ==
            ProbeResult::Refuses);
}
