#include "balsampoint/http/command/submit_change.hpp"

#include "balsampoint/http/internal/json_field.hpp"
#include "balsampoint/http/internal/request_field.hpp"
#include "balsampoint/http/problem.hpp"

#include <limits>
#include <utility>

namespace balsampoint::http {

namespace {

using internal::Json;

constexpr std::uint64_t kMaxWaitMs = 60'000;
constexpr std::size_t kMaxChangeIdBytes = 128;

ChangeRequest
ReadChange(const OperatorId& aOperator,
           const ServerRequest& aRequest,
           std::string aDocument)
{
  constexpr auto kMaxNumber = std::numeric_limits<std::int64_t>::max();
  const auto id = aRequest.get("X-Change-Id", "");
  if (id.empty() || id.size() > kMaxChangeIdBytes) {
    throw Failure{ MakeError(ErrorKind::BadRequest,
                             "X-Change-Id: needs 1 to 128 characters") };
  }
  const auto number =
    internal::ReadNumber(aRequest, "X-Change-Number", 1, kMaxNumber);
  if (!number) {
    throw Failure{ MakeError(ErrorKind::BadRequest,
                             "X-Change-Number: is missing") };
  }
  const auto wait = internal::ReadNumber(aRequest, "X-Wait-Ms", 0, kMaxWaitMs);
  return { .number = ChangeNumber{ *number },
           .change = ChangeId{ id },
           .by = aOperator,
           .document = std::move(aDocument),
           .wait = std::chrono::milliseconds{ wait.value_or(0) } };
}

std::string
EncodeAnswer(const ChangeAnswer& aAnswer)
{
  Json hosts = Json::array();
  for (const auto& host : aAnswer.hosts) {
    hosts.push_back({ { "host", host.host.String() },
                      { "incarnation", host.incarnation.Value() },
                      { "number", host.number.Value() } });
  }
  Json missing = Json::array();
  for (const auto& host : aAnswer.missing) {
    missing.push_back(host.String());
  }
  const Json document{ { "number", aAnswer.number.Value() },
                       { "change", aAnswer.change.String() },
                       { "outcome", "accepted" },
                       { "in_force",
                         { { "hosts", std::move(hosts) },
                           { "missing", std::move(missing) },
                           { "everywhere", aAnswer.everywhere } } } };
  return document.dump();
}

void
SendRefusal(ServerResponse& aResponse, const ChangeRefusal& aRefusal)
{
  auto error = aRefusal.error;
  if (aRefusal.winner) {
    error.detail +=
      "; the winner is change '" + aRefusal.winner->String() + "'";
  }
  SendProblem(aResponse, error);
}

} // namespace

void
SubmitChange(const Operations& aOperations,
             const OperatorId& aOperator,
             const ServerRequest& aRequest,
             std::string aDocument,
             ServerResponse& aResponse)
{
  const auto answer =
    aOperations.submit(ReadChange(aOperator, aRequest, std::move(aDocument)));
  if (!answer) {
    SendRefusal(aResponse, answer.error());
    return;
  }
  SendJson(aResponse, EncodeAnswer(*answer));
}

} // namespace balsampoint::http
