#include "balsampoint/forward/body_check.hpp"

namespace balsampoint::forward {

BodyVerdict
CheckBody(const InnerAnswer& aInner)
{
  if (!aInner.complete) {
    return aInner.endsByClose || aInner.followed ? BodyVerdict::Mixed
                                                 : BodyVerdict::Whole;
  }
  if (!aInner.identified) {
    return BodyVerdict::Whole;
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
