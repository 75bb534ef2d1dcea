#include "balsampoint/edge/detour_token.hpp"

#include <Poco/DigestEngine.h>
#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>
#include <openssl/crypto.h>

namespace balsampoint::edge {

namespace {

/** @brief SHA-256 with the members that `Poco::HMACEngine` needs. */
class Sha256Engine : public Poco::SHA2Engine
{
public:
  enum : std::uint8_t
  {
    // NOLINTNEXTLINE(readability-identifier-naming)
    BLOCK_SIZE = 64,
    // NOLINTNEXTLINE(readability-identifier-naming)
    DIGEST_SIZE = 32,
  };

  Sha256Engine()
    : Poco::SHA2Engine{ Poco::SHA2Engine::SHA_256 }
  {
  }
};

} // namespace

std::string
DetourToken(std::string_view aSecret, std::string_view aServer)
{
  Poco::HMACEngine<Sha256Engine> engine{ std::string{ aSecret } };
  engine.update(aServer.data(), aServer.size());
  return Poco::DigestEngine::digestToHex(engine.digest());
}

bool
IsSameToken(std::string_view aOne, std::string_view aOther)
{
  return aOne.size() == aOther.size() &&
         CRYPTO_memcmp(aOne.data(), aOther.data(), aOne.size()) == 0;
}

} // namespace balsampoint::edge
