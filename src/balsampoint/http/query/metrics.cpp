#include "balsampoint/http/query/metrics.hpp"

namespace balsampoint::http {

bool
AnswerMetrics(const traffic::World& aWorld,
              trace::Telemetry& aTelemetry,
              const ServerRequest& aRequest,
              ServerResponse& aResponse)
{
  if (aRequest.getURI() != "/metrics") {
    return false;
  }
  auto& metrics = aTelemetry.metrics;
  if (const auto servers = aWorld.servers.Read()) {
    metrics.Set(trace::Level::LiveServers,
                static_cast<double>(servers->servers.size()));
  }
  if (const auto configuration = aWorld.configuration.Read()) {
    metrics.Set(trace::Level::ChangeNumber,
                static_cast<double>(configuration->document.number.Value()));
  }
  if (aTelemetry.exporter) {
    metrics.Set(trace::Level::DroppedSpans,
                static_cast<double>(aTelemetry.exporter->Dropped()));
  }
  const auto text = metrics.Text();
  aResponse.setContentType("text/plain; version=0.0.4");
  aResponse.sendBuffer(text.data(), text.size());
  return true;
}

} // namespace balsampoint::http
