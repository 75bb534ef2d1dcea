#include "balsampoint/config/internal/document_values.hpp"

#include <algorithm>
#include <array>

namespace balsampoint::config::internal {

namespace {

constexpr std::uint32_t kDefaultMaxTokens = 1024;
constexpr std::uint64_t kDefaultMaxBodyBytes = 1048576;
constexpr Duration kDefaultPipelineTimeout = std::chrono::seconds{ 120 };
constexpr Duration kDefaultServiceTimeout = std::chrono::seconds{ 30 };

} // namespace

void
ReadValue(const Cursor& aCursor, Zone& aZone)
{
  FieldReader reader{ aCursor };
  reader.Read("region", aZone.region, Presence::Required);
  reader.Finish();
}

void
ReadValue(const Cursor& aCursor, Link& aLink)
{
  FieldReader reader{ aCursor };
  reader.Read("from", aLink.from, Presence::Required);
  reader.Read("to", aLink.to, Presence::Required);
  if (reader.Read(
        "bytes_per_second", aLink.bytesPerSecond, Presence::Required)) {
    RequirePositive(reader, "bytes_per_second", aLink.bytesPerSecond);
  }
  reader.Read("delay", aLink.delay);
  reader.Finish();
}

void
ReadValue(const Cursor& aCursor, Pipeline& aPipeline)
{
  FieldReader reader{ aCursor };
  aPipeline.maxTokens = kDefaultMaxTokens;
  aPipeline.timeout = kDefaultPipelineTimeout;
  reader.Read("model", aPipeline.model, Presence::Required);
  reader.Read("version", aPipeline.version, Presence::Required);
  reader.Read("adapter", aPipeline.adapter);
  if (reader.Read("layers", aPipeline.layers, Presence::Required)) {
    RequirePositive(reader, "layers", aPipeline.layers);
  }
  reader.Read("max_tokens", aPipeline.maxTokens);
  RequirePositive(reader, "max_tokens", aPipeline.maxTokens);
  reader.Read("activation_bytes", aPipeline.activationBytes);
  reader.Read("timeout", aPipeline.timeout);
  RequirePositive(reader, "timeout", aPipeline.timeout);
  reader.Finish();
}

void
ReadValue(const Cursor& aCursor, ServiceRule& aRule)
{
  constexpr std::array<std::string_view, 8> kMethods{
    "*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"
  };
  FieldReader reader{ aCursor };
  if (reader.Read("method", aRule.method, Presence::Required) &&
      std::ranges::find(kMethods, aRule.method) == kMethods.end()) {
    reader.Here().ReportField("method",
                              "'" + aRule.method + "' is not a method or '*'");
  }
  if (reader.Read("path_prefix", aRule.pathPrefix, Presence::Required) &&
      !aRule.pathPrefix.starts_with('/')) {
    reader.Here().ReportField("path_prefix", "must start with '/'");
  }
  reader.Read("idempotent", aRule.idempotent);
  reader.Finish();
}

void
ReadValue(const Cursor& aCursor, Service& aService)
{
  FieldReader reader{ aCursor };
  aService.timeout = kDefaultServiceTimeout;
  aService.maxBodyBytes = kDefaultMaxBodyBytes;
  reader.Read("rules", aService.rules);
  reader.Read("timeout", aService.timeout);
  RequirePositive(reader, "timeout", aService.timeout);
  reader.Read("max_body_bytes", aService.maxBodyBytes);
  RequirePositive(reader, "max_body_bytes", aService.maxBodyBytes);
  reader.Finish();
}

void
ReadValue(const Cursor& aCursor, Limits& aLimits)
{
  FieldReader reader{ aCursor };
  reader.Read("requests_per_second", aLimits.requestsPerSecond);
  if (aLimits.requestsPerSecond < 0) {
    reader.Here().ReportField("requests_per_second", "must not be negative");
  }
  reader.Read("concurrent_requests", aLimits.concurrentRequests);
  reader.Finish();
}

} // namespace balsampoint::config::internal
