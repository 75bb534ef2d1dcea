#include "balsampoint/daemon/compressed_text.hpp"

#include <Poco/DeflatingStream.h>
#include <Poco/InflatingStream.h>
#include <Poco/MemoryStream.h>
#include <array>
#include <sstream>

namespace balsampoint::daemon {

std::string
Compress(std::string_view aText)
{
  std::ostringstream packed;
  Poco::DeflatingOutputStream stream{ packed };
  stream.write(aText.data(), static_cast<std::streamsize>(aText.size()));
  stream.close();
  return std::move(packed).str();
}

tl::expected<std::string, Error>
Decompress(std::string_view aPacked)
{
  if (aPacked.empty()) {
    // The library writes no bytes for an empty text.
    return std::string{};
  }
  constexpr std::size_t kPieceBytes = 16384;
  Poco::MemoryInputStream packed{
    aPacked.data(), static_cast<std::streamsize>(aPacked.size())
  };
  Poco::InflatingInputStream stream{ packed };
  std::string text;
  std::array<char, kPieceBytes> piece{};
  while (stream.good()) {
    stream.read(piece.data(), piece.size());
    text.append(piece.data(), static_cast<std::size_t>(stream.gcount()));
    if (text.size() > kMaxTextBytes) {
      return Refuse(ErrorKind::InvalidConfiguration,
                    "the compressed text is too long");
    }
  }
  if (stream.bad()) {
    return Refuse(ErrorKind::InvalidConfiguration,
                  "the compressed text is damaged");
  }
  return text;
}

} // namespace balsampoint::daemon
