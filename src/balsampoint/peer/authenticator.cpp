#include "balsampoint/peer/authenticator.hpp"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <utility>

namespace balsampoint::peer {

namespace {

void
AppendField(std::string& aText, std::string_view aField)
{
  aText += std::to_string(aField.size());
  aText += ':';
  aText += aField;
}

} // namespace

Authenticator::Authenticator(Identity aIdentity)
  : mIdentity{ std::move(aIdentity) }
{
}

generated::Frame
Authenticator::Seal(const HostId& aTo, ModuleTag aModule, ByteView aBody) const
{
  generated::Frame frame;
  frame.version = kFrameVersion;
  frame.cluster = mIdentity.cluster.String();
  frame.sender = mIdentity.host.String();
  frame.recipient = aTo.String();
  frame.incarnation = static_cast<std::int64_t>(mIdentity.incarnation.Value());
  frame.target = static_cast<std::int32_t>(aModule);
  const auto* bytes = reinterpret_cast<const char*>(aBody.data());
  frame.body.assign(bytes, aBody.size());
  frame.mac = Code(frame);
  return frame;
}

tl::expected<Parcel, Error>
Authenticator::Open(const generated::Frame& aFrame) const
{
  if (aFrame.version != kFrameVersion) {
    return Refuse(ErrorKind::BadRequest, "frame of another version");
  }
  if (aFrame.cluster != mIdentity.cluster.String()) {
    return Refuse(ErrorKind::BadRequest, "frame of another cluster");
  }
  if (aFrame.recipient != mIdentity.host.String()) {
    return Refuse(ErrorKind::BadRequest, "frame for another host");
  }
  const auto code = Code(aFrame);
  if (code.size() != aFrame.mac.size() ||
      CRYPTO_memcmp(code.data(), aFrame.mac.data(), code.size()) != 0) {
    return Refuse(ErrorKind::Unauthorized, "frame with a wrong code");
  }
  const auto* bytes = reinterpret_cast<const std::byte*>(aFrame.body.data());
  return Parcel{
    .from = HostId{ aFrame.sender },
    .incarnation =
      Incarnation{ static_cast<std::uint64_t>(aFrame.incarnation) },
    .module = static_cast<ModuleTag>(aFrame.target),
    .body = ByteVector(bytes, bytes + aFrame.body.size()),
  };
}

std::string
Authenticator::Code(const generated::Frame& aFrame) const
{
  std::string text;
  AppendField(text, std::to_string(aFrame.version));
  AppendField(text, aFrame.cluster);
  AppendField(text, aFrame.sender);
  AppendField(text, aFrame.recipient);
  AppendField(text, std::to_string(aFrame.incarnation));
  AppendField(text, std::to_string(aFrame.target));
  AppendField(text, aFrame.body);
  std::array<unsigned char, EVP_MAX_MD_SIZE> code{};
  unsigned int size = 0;
  HMAC(EVP_sha256(),
       mIdentity.secret.data(),
       static_cast<int>(mIdentity.secret.size()),
       reinterpret_cast<const unsigned char*>(text.data()),
       text.size(),
       code.data(),
       &size);
  return { code.begin(), code.begin() + size };
}

} // namespace balsampoint::peer
