#include "balsampoint/daemon/digest.hpp"

#include <Poco/DigestEngine.h>
#include <Poco/SHA2Engine.h>

namespace balsampoint::daemon {

std::string
Sha256(std::initializer_list<std::string_view> aParts)
{
  Poco::SHA2Engine engine{ Poco::SHA2Engine::SHA_256 };
  for (const auto part : aParts) {
    engine.update(part.data(), part.size());
  }
  return Poco::DigestEngine::digestToHex(engine.digest());
}

} // namespace balsampoint::daemon
