#include "balsampoint/http/internal/request_field.hpp"

#include <charconv>
#include <string_view>

namespace balsampoint::http::internal {

std::optional<std::uint64_t>
ReadNumber(const ServerRequest& aRequest,
           const std::string& aName,
           std::uint64_t aLeast,
           std::uint64_t aMost)
{
  if (!aRequest.has(aName)) {
    return std::nullopt;
  }
  const auto& text = aRequest.get(aName);
  std::uint64_t number = 0;
  const auto* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  if (result.ec != std::errc{} || result.ptr != end || number < aLeast ||
      number > aMost) {
    throw Failure{ MakeError(ErrorKind::BadRequest,
                             aName + ": must be a whole number from " +
                               std::to_string(aLeast) + " to " +
                               std::to_string(aMost)) };
  }
  return number;
}

std::string
ReadKey(const ServerRequest& aRequest)
{
  constexpr std::string_view kBearer = "Bearer ";
  const std::string field = aRequest.get("Authorization", "");
  if (!field.starts_with(kBearer)) {
    throw Failure{ MakeError(ErrorKind::Unauthorized,
                             "Authorization: a bearer key is needed") };
  }
  return field.substr(kBearer.size());
}

void
RequireMethod(const ServerRequest& aRequest, const std::string& aMethod)
{
  if (aRequest.getMethod() != aMethod) {
    throw Failure{ MakeError(ErrorKind::MethodNotAllowed,
                             "only " + aMethod + " is taken here") };
  }
}

} // namespace balsampoint::http::internal
