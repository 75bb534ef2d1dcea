#include "balsampoint/http/command/call_service.hpp"

#include "balsampoint/config/service_rule.hpp"
#include "balsampoint/http/internal/or_throw.hpp"
#include "balsampoint/http/problem.hpp"
#include "balsampoint/http/service_client.hpp"
#include "balsampoint/runtime/steady_clock.hpp"
#include "balsampoint/traffic/command/run_service.hpp"

#include <Poco/String.h>
#include <algorithm>
#include <openssl/evp.h>
#include <optional>

namespace balsampoint::http {

namespace {

using internal::OrThrow;
using runtime::SteadyClock;

constexpr auto kTraceField = "traceparent";

/** @brief A service call as its path names it. */
struct ServicePath
{
  ServiceId service;
  /** Path at the service, with its query. */
  std::string rest;
};

ServicePath
SplitPath(const std::string& aUri)
{
  const auto below = aUri.substr(kServicesPath.size());
  const auto slash = below.find('/');
  if (slash == std::string::npos) {
    return { .service = ServiceId{ below.substr(0, below.find('?')) },
             .rest = "/" };
  }
  return { .service = ServiceId{ below.substr(0, slash) },
           .rest = below.substr(slash) };
}

const config::Service&
FindService(const CallerRequest& aCaller, const ServiceId& aId)
{
  const auto& services = aCaller.configuration->document.services;
  const auto found = services.find(aId);
  if (found == services.end()) {
    throw Failure{ MakeError(ErrorKind::UnknownService,
                             "no service '" + aId.String() + "'") };
  }
  if (!aCaller.workspace->services.Allows(aId)) {
    throw Failure{ MakeError(ErrorKind::Forbidden,
                             "the workspace may not use service '" +
                               aId.String() + "'") };
  }
  return found->second;
}

ClientRequest
MakeRequest(const CallerRequest& aCaller,
            const config::Service& aService,
            const ServicePath& aPath,
            ServerRequest& aRequest)
{
  auto body = ReadBody(aRequest, aService.maxBodyBytes);
  if (!body) {
    throw Failure{ body.error() };
  }
  ClientRequest request{ .method = aRequest.getMethod(),
                         .path = aPath.rest,
                         .headers = {},
                         .body = std::move(*body),
                         .contentType = aRequest.getContentType(),
                         .maxResponseBytes = aService.maxBodyBytes,
                         .reuseConnection = false };
  for (const auto& [name, value] : aRequest) {
    if (IsEndToEnd(name) && Poco::icompare(name, kTraceField) != 0) {
      request.headers.push_back({ name, value });
    }
  }
  request.headers.push_back({ "X-Request-Id", aCaller.id.String() });
  request.headers.push_back({ kTraceField, aCaller.trace.Text() });
  return request;
}

ledger::Digest
DigestOf(const ClientRequest& aRequest)
{
  const auto text =
    aRequest.method + '\n' + aRequest.path + '\n' + aRequest.body;
  ledger::Digest digest{};
  unsigned int size = 0;
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
  auto* bytes = reinterpret_cast<unsigned char*>(digest.data());
  if (EVP_Digest(
        text.data(), text.size(), bytes, &size, EVP_sha256(), nullptr) != 1) {
    throw Failure{ MakeError(ErrorKind::Internal, "SHA-256 is missing") };
  }
  return digest;
}

ledger::StoredAnswer
Run(const CallerServices& aServices,
    const ClientRequest& aRequest,
    const traffic::ServiceCall& aCall,
    const std::optional<std::string>& aKey)
{
  ServiceClient client{ aServices.backends, aRequest };
  traffic::BasicServiceRun run{ client, aServices.gate, SteadyClock{}, aCall };
  if (!aKey || aCall.idempotent) {
    return OrThrow(run.Run());
  }
  return OrThrow(run.RunKeyed({ .key = { .workspace = aCall.workspace,
                                         .service = aCall.service,
                                         .value = *aKey },
                                .digest = DigestOf(aRequest),
                                .id = aServices.gate.NextClaim() }));
}

void
SendAnswer(ServerResponse& aResponse, const ledger::StoredAnswer& aAnswer)
{
  aResponse.setStatus(
    static_cast<Poco::Net::HTTPResponse::HTTPStatus>(aAnswer.status));
  for (const auto& header : aAnswer.headers) {
    aResponse.add(header.name, header.value);
  }
  aResponse.sendBuffer(aAnswer.body.data(), aAnswer.body.size());
}

std::optional<std::string>
ReadIdempotencyKey(const ServerRequest& aRequest)
{
  constexpr auto kField = "Idempotency-Key";
  if (!aRequest.has(kField)) {
    return std::nullopt;
  }
  return aRequest.get(kField);
}

} // namespace

void
CallService(const CallerServices& aServices,
            const CallerRequest& aCaller,
            ServerRequest& aRequest,
            ServerResponse& aResponse)
{
  const auto path = SplitPath(aRequest.getURI());
  const auto& service = FindService(aCaller, path.service);
  const traffic::ServiceCall call{
    .workspace = aCaller.workspace->id,
    .service = path.service,
    .idempotent =
      config::IsIdempotent(service, aRequest.getMethod(), path.rest),
    .deadline = std::min(aCaller.deadline, SteadyClock::Now() + service.timeout)
  };
  const auto request = MakeRequest(aCaller, service, path, aRequest);
  const auto arrived = SteadyClock::Now();
  const traffic::ControlGate::Pass pass{
    aServices.gate, { .workspace = call.workspace, .deadline = call.deadline }
  };
  auto& metrics = aServices.telemetry.metrics;
  metrics.Record(trace::Timing::QueueWait, SteadyClock::Now() - arrived);
  OrThrow(pass.Result());
  SendAnswer(aResponse,
             Run(aServices, request, call, ReadIdempotencyKey(aRequest)));
  metrics.Add(trace::Outcome::Complete);
  metrics.Record(trace::Timing::Request, SteadyClock::Now() - arrived);
}

} // namespace balsampoint::http
