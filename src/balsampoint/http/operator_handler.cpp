#include "balsampoint/http/operator_handler.hpp"

#include "balsampoint/config/query/document_text.hpp"
#include "balsampoint/http/command/submit_change.hpp"
#include "balsampoint/http/internal/json_field.hpp"
#include "balsampoint/http/internal/request_field.hpp"
#include "balsampoint/http/problem.hpp"
#include "balsampoint/http/query/health.hpp"
#include "balsampoint/http/query/status.hpp"

#include <utility>

namespace balsampoint::http {

namespace {

constexpr std::string_view kConfigurationPath = "/v1/configuration";
constexpr std::string_view kHistoryPath = "/v1/configuration/history";
constexpr std::string_view kHostsPath = "/v1/status/hosts";
constexpr std::string_view kControlPath = "/v1/control/";
constexpr std::string_view kDrainPath = "/v1/drain";
constexpr std::uint64_t kMaxDocumentBytes = 8ULL * 1024 * 1024;
constexpr std::uint64_t kMaxMemberBytes = 4096;

/** Reads and checks a configuration; gives it in its replicated form. */
std::string
ReadDocument(ServerRequest& aRequest)
{
  const auto body = ReadBody(aRequest, kMaxDocumentBytes);
  if (!body) {
    throw Failure{ body.error() };
  }
  const auto document = config::Parse(*body);
  if (document) {
    return config::Serialize(*document);
  }
  std::string detail;
  for (const auto& problem : document.error()) {
    detail += config::ToString(problem) + "\n";
  }
  throw Failure{ MakeError(ErrorKind::InvalidConfiguration, detail) };
}

MemberChangeKind
ReadMemberChange(std::string_view aWord)
{
  if (aWord == "add") {
    return MemberChangeKind::Add;
  }
  if (aWord == "remove") {
    return MemberChangeKind::Remove;
  }
  if (aWord == "replace") {
    return MemberChangeKind::Replace;
  }
  throw Failure{ MakeError(ErrorKind::NotFound,
                           "control: add, remove or replace") };
}

} // namespace

OperatorHandler::OperatorHandler(traffic::World& aWorld,
                                 Operations aOperations,
                                 config::KeyIndex aSettingsKeys)
  : mWorld{ aWorld }
  , mOperations{ std::move(aOperations) }
  , mSettingsKeys{ std::move(aSettingsKeys) }
{
}

void
OperatorHandler::Handle(ServerRequest& aRequest, ServerResponse& aResponse)
{
  try {
    Dispatch(aRequest, aResponse);
  } catch (const Failure& failure) {
    RefuseUnread(aRequest, aResponse, failure.Cause());
  }
}

void
OperatorHandler::Dispatch(ServerRequest& aRequest, ServerResponse& aResponse)
{
  if (AnswerHealth(mWorld, aRequest, aResponse)) {
    return;
  }
  const auto by = Identify(aRequest);
  if (aRequest.getMethod() == "GET") {
    Query(aRequest, aResponse);
    return;
  }
  Command(by, aRequest, aResponse);
}

void
OperatorHandler::Query(const ServerRequest& aRequest,
                       ServerResponse& aResponse) const
{
  const std::string_view uri = aRequest.getURI();
  if (uri == kConfigurationPath) {
    SendJson(aResponse, EncodeConfiguration(mWorld));
    return;
  }
  if (uri == kHistoryPath) {
    SendJson(aResponse, EncodeHistory(mWorld));
    return;
  }
  if (uri == kHostsPath) {
    const auto hosts = mOperations.hosts();
    if (!hosts) {
      throw Failure{ hosts.error() };
    }
    SendJson(aResponse, EncodeHosts(*hosts));
    return;
  }
  if (uri.starts_with(kStatusPath)) {
    const auto status = EncodeStatus(mWorld, uri.substr(kStatusPath.size()));
    if (status) {
      SendJson(aResponse, *status);
      return;
    }
  }
  throw Failure{ MakeError(ErrorKind::NotFound, uri) };
}

void
OperatorHandler::Command(const OperatorId& aOperator,
                         ServerRequest& aRequest,
                         ServerResponse& aResponse)
{
  const std::string_view uri = aRequest.getURI();
  if (uri == kConfigurationPath) {
    internal::RequireMethod(aRequest, "PUT");
    SubmitChange(
      mOperations, aOperator, aRequest, ReadDocument(aRequest), aResponse);
  } else if (uri.starts_with(kControlPath)) {
    internal::RequireMethod(aRequest, "POST");
    ChangeMembers(aRequest, aResponse);
  } else if (uri == kDrainPath) {
    internal::RequireMethod(aRequest, "POST");
    mOperations.drain();
    SendJson(aResponse, R"({"outcome":"draining"})");
  } else {
    throw Failure{ MakeError(ErrorKind::NotFound, uri) };
  }
}

void
OperatorHandler::ChangeMembers(ServerRequest& aRequest,
                               ServerResponse& aResponse)
{
  const std::string_view uri = aRequest.getURI();
  const auto kind = ReadMemberChange(uri.substr(kControlPath.size()));
  const auto body = ReadBody(aRequest, kMaxMemberBytes);
  if (!body) {
    throw Failure{ body.error() };
  }
  const auto change =
    internal::Parse(*body, [kind](const internal::Json& aDocument) {
      return MemberChange{
        .kind = kind,
        .host = HostId{ aDocument.at("host").get<std::string>() },
        .replacement = HostId{ aDocument.value("replacement", std::string{}) },
      };
    });
  if (!change) {
    throw Failure{ change.error() };
  }
  const auto done = mOperations.changeMembers(*change);
  if (!done) {
    throw Failure{ done.error() };
  }
  SendJson(aResponse, R"({"outcome":"done"})");
}

OperatorId
OperatorHandler::Identify(const ServerRequest& aRequest) const
{
  const auto key = internal::ReadKey(aRequest);
  const auto configuration = mWorld.configuration.Read();
  const auto& keys = configuration ? configuration->keys : mSettingsKeys;
  const auto found = keys.FindOperator(key);
  if (!found) {
    throw Failure{ MakeError(ErrorKind::Unauthorized, "the key is not known") };
  }
  return *found;
}

} // namespace balsampoint::http
