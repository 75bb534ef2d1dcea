#include "balsampoint/forward/answer_check.hpp"

#include <array>
#include <criterion/criterion.h>
#include <optional>

using namespace balsampoint::forward;

namespace {

constexpr AnswerClaims kOwn{ .status = 200,
                             .namedRequests = 1,
                             .namesThisRequest = true,
                             .authenticationCodes = 1 };

} // namespace

Test(answer_check, a_success_names_its_request_once_and_is_authenticated_once)
{
  cr_assert_eq(CheckAnswer(kOwn), AnswerVerdict::Own);
  auto claims = kOwn;
  claims.authenticationCodes = 0;
  cr_expect_eq(CheckAnswer(claims), AnswerVerdict::NotAuthenticated);
  claims.authenticationCodes = 2;
  cr_expect_eq(CheckAnswer(claims), AnswerVerdict::NotAuthenticated);
}

Test(answer_check, a_success_has_the_whole_plain_body)
{
  auto claims = kOwn;
  claims.hasContentCoding = true;
  cr_expect_eq(CheckAnswer(claims), AnswerVerdict::ContentCoding);
  claims = kOwn;
  claims.status = 206;
  cr_expect_eq(CheckAnswer(claims), AnswerVerdict::PartialContent);
  claims.partRequested = true;
  cr_expect_eq(CheckAnswer(claims), AnswerVerdict::Own);
}

Test(answer_check, every_final_answer_names_its_request)
{
  for (const std::uint16_t status : { 200, 204, 404, 421, 500, 503 }) {
    auto claims = kOwn;
    claims.status = status;
    claims.namedRequests = 0;
    cr_expect_eq(CheckAnswer(claims), AnswerVerdict::NoRequest);
    claims.namedRequests = 2;
    cr_expect_eq(CheckAnswer(claims), AnswerVerdict::SeveralRequests);
    claims.namedRequests = 1;
    claims.namesThisRequest = false;
    cr_expect_eq(CheckAnswer(claims), AnswerVerdict::OtherRequest);
  }
}

// Guards against a wait for an answer behind one that only the end of the
// connection ends.
Test(answer_check, nothing_follows_an_answer_that_lasts_until_the_end)
{
  auto claims = kOwn;
  claims.endsByClose = true;
  cr_assert_eq(CheckAnswer(claims), AnswerVerdict::Own);
  claims.namesThisRequest = false;
  cr_assert_eq(CheckAnswer(claims), AnswerVerdict::OtherRequestUntilClose);
  cr_assert_not(MaySkip(CheckAnswer(claims)));
}

Test(answer_check, a_failure_needs_no_authentication_code)
{
  for (const std::uint16_t status : { 404, 421, 500, 503 }) {
    auto claims = kOwn;
    claims.status = status;
    claims.authenticationCodes = 0;
    cr_expect_eq(CheckAnswer(claims), AnswerVerdict::Own);
  }
}

Test(answer_check, only_interim_answers_and_those_to_others_may_be_skipped)
{
  cr_expect(MaySkip(CheckAnswer({ .status = 100 })));
  cr_expect_not(MaySkip(CheckAnswer({ .status = 101 })));
  auto claims = kOwn;
  claims.namesThisRequest = false;
  cr_expect(MaySkip(CheckAnswer(claims)));
  claims.namedRequests = 0;
  cr_expect_not(MaySkip(CheckAnswer(claims)));
}

// Guards against a number that is believed since it parses.
Test(answer_check, an_answer_without_a_status_is_none)
{
  auto claims = kOwn;
  claims.status = std::nullopt;
  cr_expect_eq(CheckAnswer(claims), AnswerVerdict::NoStatus);
  cr_expect_not(MaySkip(AnswerVerdict::NoStatus));
}

// Guards against a wait until the deadline for an answer that never follows.
Test(answer_check, an_interim_answer_replaces_no_final_one)
{
  AnswerClaims claims{ .status = 102, .interimBefore = kMaxInterimAnswers - 1 };
  cr_expect_eq(CheckAnswer(claims), AnswerVerdict::Interim);
  claims.interimBefore = kMaxInterimAnswers;
  cr_expect_eq(CheckAnswer(claims), AnswerVerdict::InterimWithoutEnd);
  cr_expect_not(MaySkip(AnswerVerdict::InterimWithoutEnd));
  claims = kOwn;
  claims.status = 199;
  cr_expect_eq(CheckAnswer(claims), AnswerVerdict::InterimAuthenticated);
  cr_expect_not(MaySkip(AnswerVerdict::InterimAuthenticated));
}

Test(answer_check, each_verdict_has_a_description_of_its_own)
{
  constexpr std::array kVerdicts{ AnswerVerdict::Own,
                                  AnswerVerdict::NoStatus,
                                  AnswerVerdict::Interim,
                                  AnswerVerdict::InterimWithoutEnd,
                                  AnswerVerdict::InterimAuthenticated,
                                  AnswerVerdict::OtherRequest,
                                  AnswerVerdict::OtherRequestUntilClose,
                                  AnswerVerdict::NoRequest,
                                  AnswerVerdict::SeveralRequests,
                                  AnswerVerdict::NotAuthenticated,
                                  AnswerVerdict::ContentCoding,
                                  AnswerVerdict::PartialContent,
                                  AnswerVerdict::ProtocolSwitch };
  for (const auto one : kVerdicts) {
    cr_expect_not(Describe(one).empty());
    for (const auto other : kVerdicts) {
      cr_expect_eq(one == other, Describe(one) == Describe(other));
    }
  }
}
