#include "balsampoint/http/query/health.hpp"

#include "balsampoint/http/problem.hpp"

namespace balsampoint::http {

bool
AnswerHealth(const traffic::World& aWorld,
             const ServerRequest& aRequest,
             ServerResponse& aResponse)
{
  const auto& uri = aRequest.getURI();
  if (uri == "/healthz") {
    SendJson(aResponse, R"({"status":"ok"})");
    return true;
  }
  if (uri != "/readyz") {
    return false;
  }
  if (aWorld.draining) {
    SendProblem(aResponse,
                MakeError(ErrorKind::Draining, "the host is stopping"));
  } else if (!aWorld.configuration.Read()) {
    SendProblem(
      aResponse,
      MakeError(ErrorKind::NotReady, "the host has no configuration yet"));
  } else {
    SendJson(aResponse, R"({"status":"ready"})");
  }
  return true;
}

} // namespace balsampoint::http
