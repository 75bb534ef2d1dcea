#pragma once

#include "balsampoint/edge/dialect.hpp"
#include "balsampoint/forward/body_check.hpp"
#include "balsampoint/wire/embedded_head.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace balsampoint::edge {

/** @brief How much of a body belongs to its answer. */
struct OwnBody
{
  forward::BodyVerdict verdict{ forward::BodyVerdict::Whole };
  /** Bytes of the body that belong to the answer. */
  std::size_t size{};
};

/**
 * @brief Decides how much of a complete body belongs to its answer.
 * @tparam D Encoding of responses.
 * @param aHead Head of the answer.
 * @param aBody Its body.
 * @param aFollowing Bytes that were read on the connection behind the answer.
 */
template<Dialect D>
[[nodiscard]] OwnBody
CheckBody(const wire::ResponseHead& aHead,
          std::string_view aBody,
          std::string_view aFollowing)
{
  // Another answer may begin in the body and go on behind it.
  std::string joined;
  auto bytes = aBody;
  if (!aFollowing.empty()) {
    joined.reserve(aBody.size() + aFollowing.size());
    joined.append(aBody).append(aFollowing);
    bytes = joined;
  }
  const auto inner = wire::FindEmbeddedHead(bytes);
  if (!inner || inner->begin >= aBody.size()) {
    return { forward::BodyVerdict::Whole, aBody.size() };
  }
  forward::InnerAnswer claims{ .complete = inner->head.has_value(),
                               .endsByClose = aHead.endsByClose,
                               .followed = !aFollowing.empty() };
  if (inner->head) {
    const auto metadata = D::ReadResponse(*inner->head);
    claims.identified =
      metadata.namedRequests > 0 || metadata.authenticationCodes > 0;
    claims.repeatsAnswer =
      inner->head->status == aHead.status &&
      inner->head->fields.All() == aHead.fields.All() &&
      bytes.substr(inner->end) == bytes.substr(0, inner->begin);
  }
  const auto verdict = forward::CheckBody(claims);
  return { verdict,
           verdict == forward::BodyVerdict::SentTwice ? inner->begin
                                                      : aBody.size() };
}

} // namespace balsampoint::edge
