#include "balsampoint/forward/body_check.hpp"

namespace balsampoint::forward {

BodyVerdict
CheckBody(const InnerAnswer& aInner)
{
  // The rest of a head that is cut may still be on its way.
  if (!aInner.complete) {
    return aInner.endsByClose || aInner.hasLength || aInner.followed
             ? BodyVerdict::Mixed
             : BodyVerdict::Whole;
  }
  if (!aInner.identified) {
    return aInner.followed || (aInner.endsByClose && aInner.repeatsBody)
             ? BodyVerdict::Mixed
             : BodyVerdict::Whole;
  }
  return aInner.endsByClose && aInner.repeatsAnswer ? BodyVerdict::SentTwice
                                                    : BodyVerdict::Mixed;
}

std::string_view
Describe(BodyVerdict aVerdict)
{
  switch (aVerdict) {
    case BodyVerdict::Whole:
      return "the body of one answer";
    case BodyVerdict::SentTwice:
      return "the answer was sent twice before the connection ended";
    case BodyVerdict::Mixed:
      return "the body holds another answer";
  }
  return "";
}

} // namespace balsampoint::forward
