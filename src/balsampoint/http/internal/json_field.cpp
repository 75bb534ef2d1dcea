#include "balsampoint/http/internal/json_field.hpp"

#include <charconv>
#include <spdlog/fmt/fmt.h>

namespace balsampoint::http::internal {

std::string
Hex(std::uint64_t aValue)
{
  return fmt::format("{:016x}", aValue);
}

std::uint64_t
ReadHex(const Json& aField)
{
  constexpr int kBase = 16;
  const auto& text = aField.get_ref<const std::string&>();
  std::uint64_t value = 0;
  const auto* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value, kBase);
  if (result.ec != std::errc{} || result.ptr != end) {
    throw Failure{ MakeError(ErrorKind::BadRequest,
                             "'" + text + "' is no hexadecimal number") };
  }
  return value;
}

} // namespace balsampoint::http::internal
