#include "balsampoint/peer/internal/call_codec.hpp"
#include "balsampoint/peer/receiver.hpp"
#include "balsampoint/peer/sender.hpp"
#include "balsampoint/runtime/mailbox.hpp"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <criterion/criterion.h>
#include <string>

using namespace balsampoint;
using namespace balsampoint::peer;

namespace {

constexpr auto kAddress = "127.0.0.1:28471";
constexpr Duration kPatience = std::chrono::seconds{ 10 };

Identity
IdentityOf(const char* aHost, const char* aSecret)
{
  return { ClusterId{ "test" }, HostId{ aHost }, Incarnation{ 7 }, aSecret };
}

ByteVector
Bytes(std::string_view aText)
{
  const auto* bytes = reinterpret_cast<const std::byte*>(aText.data());
  return { bytes, bytes + aText.size() };
}

} // namespace

Test(authenticator, opens_only_what_was_sealed_under_the_same_secret)
{
  const Authenticator left{ IdentityOf("a", "secret") };
  const Authenticator right{ IdentityOf("b", "secret") };
  const Authenticator stranger{ IdentityOf("b", "other") };
  const auto body = Bytes("hello");
  auto frame = left.Seal(HostId{ "b" }, ModuleTag::Registry, body);
  cr_assert(right.Open(frame).has_value());
  cr_assert(right.Open(frame)->body == body);
  cr_assert_eq(stranger.Open(frame).error().kind, ErrorKind::Unauthorized);
  cr_assert_eq(left.Open(frame).error().kind, ErrorKind::BadRequest);
  frame.incarnation = 8;
  cr_assert_eq(right.Open(frame).error().kind, ErrorKind::Unauthorized);
  frame.version = 2;
  cr_assert_eq(right.Open(frame).error().kind, ErrorKind::BadRequest);
}

Test(receiver, takes_messages_of_peers_and_refuses_strangers)
{
  runtime::Mailbox<Parcel> received{ 8 };
  auto receiver =
    Receiver::Listen(kAddress, IdentityOf("b", "secret"), [&](Parcel aParcel) {
      cr_assert(received.Push(std::move(aParcel)));
    });
  cr_assert(receiver.has_value());
  Sender stranger{ IdentityOf("x", "other") };
  stranger.Route(HostId{ "b" }, kAddress);
  stranger.Send(HostId{ "b" }, ModuleTag::Member, Bytes("intruder"));
  Sender sender{ IdentityOf("a", "secret") };
  sender.Route(HostId{ "b" }, kAddress);
  sender.Send(HostId{ "b" }, ModuleTag::Member, Bytes("hello"));
  const auto parcel = received.Pop(kPatience);
  cr_assert(parcel.has_value());
  cr_assert(parcel->from == HostId{ "a" });
  cr_assert_eq(parcel->incarnation.Value(), 7);
  cr_assert(parcel->body == Bytes("hello"));
  sender.Send(HostId{ "nobody" }, ModuleTag::Member, Bytes("hello"));
  cr_assert_eq(sender.Dropped(), 1);
}

Test(receiver, reports_an_address_that_is_taken)
{
  const auto handler = [](const Parcel&) {};
  const auto first =
    Receiver::Listen("127.0.0.1:28472", IdentityOf("a", "s"), handler);
  cr_assert(first.has_value());
  const auto second =
    Receiver::Listen("127.0.0.1:28472", IdentityOf("b", "s"), handler);
  cr_assert_not(second.has_value());
}

namespace {

// Tests run at the same time, so each has an address of its own.
constexpr auto kRawAddress = "127.0.0.1:28473";
constexpr auto kSplitAddress = "127.0.0.1:28474";

void
SendRaw(Poco::Net::StreamSocket& aSocket, std::string_view aBytes)
{
  aSocket.sendBytes(aBytes.data(), static_cast<int>(aBytes.size()));
}

} // namespace

// Guards against one malformed message that takes the process down or keeps
// other peers from being heard.
Test(receiver, a_malformed_call_ends_only_its_connection)
{
  runtime::Mailbox<Parcel> received{ 8 };
  auto receiver = Receiver::Listen(
    kRawAddress, IdentityOf("b", "secret"), [&](Parcel aParcel) {
      cr_assert(received.Push(std::move(aParcel)));
    });
  cr_assert(receiver.has_value());
  using namespace std::string_literals;
  for (const auto& bytes : { "\xff\xff\xff\xff"s,
                             "\0\0\0\4junk"s,
                             "\0\0\0\0"s,
                             "GET / HTTP/1.1\r\n\r\n"s }) {
    Poco::Net::StreamSocket socket{ Poco::Net::SocketAddress{ kRawAddress } };
    SendRaw(socket, bytes);
    char byte{};
    cr_assert_leq(socket.receiveBytes(&byte, 1), 0, "the connection ends");
  }
  cr_assert_eq((*receiver)->Refused(), 4);
  Sender sender{ IdentityOf("a", "secret") };
  sender.Route(HostId{ "b" }, kRawAddress);
  sender.Send(HostId{ "b" }, ModuleTag::Member, Bytes("hello"));
  cr_assert(received.Pop(kPatience).has_value());
}

Test(receiver, calls_are_read_however_their_bytes_arrive)
{
  runtime::Mailbox<Parcel> received{ 64 };
  auto receiver = Receiver::Listen(
    kSplitAddress, IdentityOf("b", "secret"), [&](Parcel aParcel) {
      cr_assert(received.Push(std::move(aParcel)));
    });
  cr_assert(receiver.has_value());
  const Authenticator sender{ IdentityOf("a", "secret") };
  const std::string large(40000, 'x');
  std::string calls;
  for (const auto& body : { std::string{ "one" }, large, std::string{} }) {
    calls += internal::EncodeCall(
      sender.Seal(HostId{ "b" }, ModuleTag::Member, Bytes(body)));
  }
  for (const std::size_t step : { 1U, 7U, 4096U, 65536U }) {
    Poco::Net::StreamSocket socket{ Poco::Net::SocketAddress{ kSplitAddress } };
    socket.setNoDelay(true);
    std::string_view rest{ calls };
    while (!rest.empty()) {
      const auto size = std::min(step, rest.size());
      SendRaw(socket, rest.substr(0, size));
      rest.remove_prefix(size);
    }
    for (const auto& body : { std::string{ "one" }, large, std::string{} }) {
      const auto parcel = received.Pop(kPatience);
      cr_assert(parcel.has_value());
      cr_assert(parcel->body == Bytes(body));
    }
  }
}
