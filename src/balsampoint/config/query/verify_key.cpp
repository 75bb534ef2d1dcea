#include "balsampoint/config/query/verify_key.hpp"

#include <array>
#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace balsampoint::config {

std::string
Sha256Hex(std::string_view aText)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr unsigned kHalfByte = 4;
  constexpr unsigned kLowHalf = 0xf;
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
  SHA256(reinterpret_cast<const unsigned char*>(aText.data()),
         aText.size(),
         digest.data());
  std::string text;
  text.reserve(2 * digest.size());
  for (const unsigned byte : digest) {
    text += kDigits[byte >> kHalfByte];
    text += kDigits[byte & kLowHalf];
  }
  return text;
}

KeyHash
HashKey(std::string_view aKey, std::string_view aSalt)
{
  return { .id = std::string{ KeyIdOf(aKey) },
           .salt = std::string{ aSalt },
           .sha256 = Sha256Hex(std::string{ aSalt } + std::string{ aKey }) };
}

bool
VerifyKey(const KeyHash& aHash, std::string_view aKey)
{
  const auto given = HashKey(aKey, aHash.salt).sha256;
  return given.size() == aHash.sha256.size() &&
         CRYPTO_memcmp(given.data(), aHash.sha256.data(), given.size()) == 0;
}

std::string_view
KeyIdOf(std::string_view aKey) noexcept
{
  const auto dot = aKey.find('.');
  return dot == std::string_view::npos ? std::string_view{}
                                       : aKey.substr(0, dot);
}

} // namespace balsampoint::config
