#include "balsampoint/forward/answer_check.hpp"

namespace balsampoint::forward {

namespace {

constexpr std::uint16_t kSwitchingProtocols = 101;
constexpr std::uint16_t kFirstFinalStatus = 200;
constexpr std::uint16_t kPartialContent = 206;
constexpr std::uint16_t kFirstRedirect = 300;

AnswerVerdict
CheckInterim(const AnswerClaims& aClaims)
{
  if (aClaims.authenticationCodes > 0) {
    return AnswerVerdict::InterimAuthenticated;
  }
  return aClaims.interimBefore < kMaxInterimAnswers
           ? AnswerVerdict::Interim
           : AnswerVerdict::InterimWithoutEnd;
}

AnswerVerdict
CheckSuccess(const AnswerClaims& aClaims)
{
  if (aClaims.authenticationCodes != 1) {
    return AnswerVerdict::NotAuthenticated;
  }
  if (aClaims.hasContentCoding) {
    return AnswerVerdict::ContentCoding;
  }
  return aClaims.status == kPartialContent && !aClaims.partRequested
           ? AnswerVerdict::PartialContent
           : AnswerVerdict::Own;
}

} // namespace

AnswerVerdict
CheckAnswer(const AnswerClaims& aClaims)
{
  if (!aClaims.status) {
    return AnswerVerdict::NoStatus;
  }
  if (aClaims.status == kSwitchingProtocols) {
    return AnswerVerdict::ProtocolSwitch;
  }
  if (aClaims.status < kFirstFinalStatus) {
    return CheckInterim(aClaims);
  }
  if (aClaims.namedRequests == 0) {
    return AnswerVerdict::NoRequest;
  }
  if (aClaims.namedRequests > 1) {
    return AnswerVerdict::SeveralRequests;
  }
  if (!aClaims.namesThisRequest) {
    return aClaims.endsByClose ? AnswerVerdict::OtherRequestUntilClose
                               : AnswerVerdict::OtherRequest;
  }
  return aClaims.status < kFirstRedirect ? CheckSuccess(aClaims)
                                         : AnswerVerdict::Own;
}

std::string_view
Describe(AnswerVerdict aVerdict)
{
  switch (aVerdict) {
    case AnswerVerdict::Own:
      return "the answer to this request";
    case AnswerVerdict::NoStatus:
      return "the number in place of the status is none";
    case AnswerVerdict::Interim:
      return "an interim answer";
    case AnswerVerdict::InterimWithoutEnd:
      return "interim answers without end";
    case AnswerVerdict::InterimAuthenticated:
      return "an interim answer has an authentication code";
    case AnswerVerdict::OtherRequest:
      return "the answer to another request";
    case AnswerVerdict::OtherRequestUntilClose:
      return "the answer to another request lasts until the connection ends";
    case AnswerVerdict::NoRequest:
      return "the answer names no request";
    case AnswerVerdict::SeveralRequests:
      return "the answer names several requests";
    case AnswerVerdict::NotAuthenticated:
      return "the answer has not exactly one authentication code";
    case AnswerVerdict::ContentCoding:
      return "the body has a content coding";
    case AnswerVerdict::PartialContent:
      return "the body is a part that was not asked for";
    case AnswerVerdict::ProtocolSwitch:
      return "the server switches to another protocol";
  }
  return "";
}

} // namespace balsampoint::forward
