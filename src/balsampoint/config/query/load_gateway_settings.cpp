#include "balsampoint/config/query/load_gateway_settings.hpp"

#include "balsampoint/config/internal/key_reader.hpp"
#include "balsampoint/config/internal/settings_values.hpp"

namespace balsampoint::config {

namespace {

using namespace internal;

constexpr std::size_t kMinSecretLength = 16;

void
ReadAddress(FieldReader& aReader,
            const std::string& aField,
            std::optional<Address>& aAddress)
{
  Address address;
  if (aReader.Read(aField, address)) {
    aAddress = address;
  }
}

void
ReadListeners(const Cursor& aCursor, GatewayListeners& aListeners)
{
  FieldReader reader{ aCursor };
  ReadAddress(reader, "callers", aListeners.callers);
  ReadAddress(reader, "ready", aListeners.ready);
  ReadAddress(reader, "control", aListeners.control);
  ReadAddress(reader, "metrics", aListeners.metrics);
  ReadAddress(reader, "operators", aListeners.operators);
  ReadAddress(reader, "detours", aListeners.detours);
  reader.Read("peers", aListeners.peers, Presence::Required);
  ReadAddress(reader, "advertised_peers", aListeners.advertisedPeers);
  if (!aListeners.callers && !aListeners.control) {
    reader.Here().Report("needs 'callers' or 'control'");
  }
  reader.Finish();
}

void
ReadRetry(const Cursor& aCursor, RetrySettings& aRetry)
{
  FieldReader reader{ aCursor };
  reader.Read("ratio", aRetry.ratio);
  reader.Read("extra", aRetry.extra);
  reader.Read("window", aRetry.window);
  RequirePositive(reader, "window", aRetry.window);
  reader.Finish();
}

void
ReadLimits(const Cursor& aCursor, ResourceLimits& aLimits)
{
  FieldReader reader{ aCursor };
  reader.Read("memory_mb", aLimits.memoryMb);
  reader.Read("descriptors", aLimits.descriptors);
  reader.Read("body_timeout", aLimits.bodyTimeout);
  reader.Read("body_rate", aLimits.bodyRate);
  RequirePositive(reader, "memory_mb", aLimits.memoryMb);
  RequirePositive(reader, "descriptors", aLimits.descriptors);
  RequirePositive(reader, "body_timeout", aLimits.bodyTimeout);
  reader.Finish();
}

void
ReadPlace(FieldReader& aReader, GatewaySettings& aSettings)
{
  aReader.Read("cluster", aSettings.cluster, Presence::Required);
  aReader.Read("host", aSettings.host, Presence::Required);
  aReader.Read("region", aSettings.region, Presence::Required);
  aReader.Read("zone", aSettings.zone, Presence::Required);
  if (aReader.Has("listen", Presence::Required)) {
    ReadListeners(aReader.Here().Field("listen"), aSettings.listen);
  }
  aReader.Read("seeds", aSettings.seeds, Presence::Required);
  aReader.Read("secret", aSettings.secret, Presence::Required);
  if (aSettings.secret.size() < kMinSecretLength) {
    aReader.Here().ReportField("secret", "needs 16 or more characters");
  }
}

void
ReadControl(FieldReader& aReader, GatewaySettings& aSettings)
{
  std::filesystem::path folder;
  if (aReader.Read("data_folder", folder)) {
    aSettings.dataFolder = folder;
  }
  aReader.Read("first_start", aSettings.firstStart);
  aReader.Read("heartbeat", aSettings.heartbeat);
  aReader.Read("control_losses", aSettings.controlLosses);
  aReader.Read("control_catch_up", aSettings.controlCatchUp);
  aReader.Read("stop_timeout", aSettings.stopTimeout);
  RequirePositive(aReader, "heartbeat", aSettings.heartbeat);
  RequirePositive(aReader, "control_catch_up", aSettings.controlCatchUp);
  RequirePositive(aReader, "stop_timeout", aSettings.stopTimeout);
  if (aSettings.listen.control && !aSettings.dataFolder) {
    aReader.Here().ReportField("data_folder",
                               "a host that listens for control needs one");
  }
}

} // namespace

tl::expected<GatewaySettings, Problems>
LoadGatewaySettings(const std::filesystem::path& aFile)
{
  const auto root = ReadYamlFile(aFile);
  if (!root) {
    return tl::unexpected(root.error());
  }
  Problems problems;
  GatewaySettings settings;
  FieldReader reader{ Cursor{ *root, "", problems } };
  ReadPlace(reader, settings);
  ReadControl(reader, settings);
  if (reader.Has("retry", Presence::Optional)) {
    ReadRetry(reader.Here().Field("retry"), settings.retry);
  }
  if (reader.Has("limits", Presence::Optional)) {
    ReadLimits(reader.Here().Field("limits"), settings.limits);
  }
  if (reader.Has("operator_keys", Presence::Optional)) {
    ReadValue(reader.Here().Field("operator_keys"), settings.operatorKeys);
  }
  if (settings.listen.operators && settings.operatorKeys.empty()) {
    reader.Here().ReportField("operator_keys",
                              "a host that listens for operators needs one");
  }
  if (reader.Has("log", Presence::Optional)) {
    ReadValue(reader.Here().Field("log"), settings.log);
  }
  reader.Finish();
  if (!problems.empty()) {
    return tl::unexpected(std::move(problems));
  }
  return settings;
}

} // namespace balsampoint::config
