#pragma once

#include "balsampoint/edge/dialect.hpp"
#include "balsampoint/forward/body_check.hpp"
#include "balsampoint/wire/embedded_head.hpp"
#include "balsampoint/wire/status_line.hpp"

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
 * @brief What a head among the bytes of an answer says.
 * @tparam D Encoding of responses.
 * @param aHead Head of the answer.
 * @param aBytes Its body and what follows it.
 * @param aInner The head among them.
 * @param aFollowing What follows the body.
 */
template<Dialect D>
[[nodiscard]] forward::InnerAnswer
ClaimsOf(const wire::ResponseHead& aHead,
         std::string_view aBytes,
         const wire::EmbeddedHead& aInner,
         std::string_view aFollowing)
{
  forward::InnerAnswer claims{
    .complete = aInner.head.has_value(),
    .endsByClose = aHead.endsByClose,
    .hasLength = aHead.fields.Count("Content-Length") > 0,
    .followed = !aFollowing.empty() && !wire::MayBeginWithStatusLine(aFollowing)
  };
  if (aInner.head) {
    const auto metadata = D::ReadResponse(*aInner.head);
    claims.identified =
      metadata.namedRequests > 0 || metadata.authenticationCodes > 0;
    const bool repeated =
      aBytes.substr(aInner.end) == aBytes.substr(0, aInner.begin);
    claims.repeatsAnswer = repeated && aInner.head->status == aHead.status &&
                           aInner.head->fields.All() == aHead.fields.All();
    claims.repeatsBody = repeated && aInner.begin > 0;
  }
  return claims;
}

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
  // A body may quote heads before the one of another answer.
  std::size_t from = 0;
  while (from < aBody.size()) {
    const auto found = wire::FindEmbeddedHead(bytes.substr(from));
    if (!found.has_value()) {
      break;
    }
    auto inner = found.value();
    inner.begin += from;
    inner.end += from;
    if (inner.begin >= aBody.size()) {
      break;
    }
    const auto verdict =
      forward::CheckBody(ClaimsOf<D>(aHead, bytes, inner, aFollowing));
    if (verdict != forward::BodyVerdict::Whole) {
      return { verdict,
               verdict == forward::BodyVerdict::SentTwice ? inner.begin
                                                          : aBody.size() };
    }
    from = inner.end;
  }
  return { forward::BodyVerdict::Whole, aBody.size() };
}

} // namespace balsampoint::edge
