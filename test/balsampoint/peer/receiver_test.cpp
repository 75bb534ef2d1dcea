#include "balsampoint/peer/receiver.hpp"
#include "balsampoint/peer/sender.hpp"
#include "balsampoint/runtime/mailbox.hpp"

#include <criterion/criterion.h>

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
