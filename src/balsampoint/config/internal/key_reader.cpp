#include "balsampoint/config/internal/key_reader.hpp"

#include <algorithm>

namespace balsampoint::config::internal {

namespace {

constexpr std::size_t kSha256Digits = 64;
constexpr std::size_t kMinSaltDigits = 16;

bool
IsLowerHex(std::string_view aText)
{
  return aText.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

} // namespace

void
ReadValue(const Cursor& aCursor, KeyHash& aKey)
{
  FieldReader reader{ aCursor };
  if (reader.Read("id", aKey.id, Presence::Required) &&
      (!IsName(aKey.id) || aKey.id.find('.') != std::string::npos)) {
    reader.Here().ReportField("id", "is not a name without dots");
  }
  if (reader.Read("salt", aKey.salt, Presence::Required) &&
      (!IsLowerHex(aKey.salt) || aKey.salt.size() < kMinSaltDigits)) {
    reader.Here().ReportField("salt",
                              "needs 16 or more lower-case hexadecimal digits");
  }
  if (reader.Read("sha256", aKey.sha256, Presence::Required) &&
      (!IsLowerHex(aKey.sha256) || aKey.sha256.size() != kSha256Digits)) {
    reader.Here().ReportField("sha256",
                              "needs 64 lower-case hexadecimal digits");
  }
  reader.Finish();
}

} // namespace balsampoint::config::internal
