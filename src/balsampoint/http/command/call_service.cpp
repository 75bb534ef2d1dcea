#include "balsampoint/http/command/call_service.hpp"

#include "balsampoint/http/problem.hpp"
#include "balsampoint/runtime/steady_clock.hpp"

#include <algorithm>

namespace balsampoint::http {

namespace {

using runtime::SteadyClock;

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
  const auto& allowed = aCaller.workspace->services;
  if (!allowed.empty() && !allowed.contains(aId)) {
    throw Failure{ MakeError(ErrorKind::Forbidden,
                             "the workspace may not use service '" +
                               aId.String() + "'") };
  }
  return found->second;
}

std::string
ChooseServer(const traffic::World& aWorld, const ServiceId& aService)
{
  const auto view = aWorld.servers.Read();
  const registry::Server* best = nullptr;
  for (const auto& server : view ? std::span{ view->servers }
                                 : std::span<const registry::Server>{}) {
    const auto& announced = server.announcement;
    if (announced.service != aService ||
        announced.state != registry::ServerState::Ready) {
      continue;
    }
    if (best == nullptr || announced.load.runningRequests <
                             best->announcement.load.runningRequests) {
      best = &server;
    }
  }
  if (best == nullptr) {
    throw Failure{ MakeError(ErrorKind::NoServer,
                             "no server of '" + aService.String() +
                               "' is in reach") };
  }
  return best->announcement.address;
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
  if (aRequest.has("Idempotency-Key")) {
    throw Failure{ MakeError(ErrorKind::ControlUnavailable,
                             "calls with a key can't be claimed yet") };
  }
  auto body = ReadBody(aRequest, service.maxBodyBytes);
  if (!body) {
    throw Failure{ body.error() };
  }
  const ClientRequest request{ .method = aRequest.getMethod(),
                               .path = path.rest,
                               .body = std::move(*body),
                               .contentType = aRequest.getContentType(),
                               .maxResponseBytes = service.maxBodyBytes,
                               .reuseConnection = false };
  const auto timeout =
    std::min(aCaller.deadline - SteadyClock::Now(), service.timeout);
  const auto response = aServices.backends.Call(
    ChooseServer(aServices.world, path.service), request, timeout);
  if (!response) {
    throw Failure{ response.error().error };
  }
  aResponse.setStatus(
    static_cast<Poco::Net::HTTPResponse::HTTPStatus>(response->status));
  aResponse.sendBuffer(response->body.data(), response->body.size());
}

} // namespace balsampoint::http
