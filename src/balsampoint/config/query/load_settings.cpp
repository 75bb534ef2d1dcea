#include "balsampoint/config/query/load_settings.hpp"

#include "balsampoint/config/internal/key_reader.hpp"
#include "balsampoint/config/internal/settings_values.hpp"

#include <fstream>
#include <iterator>

namespace balsampoint::config {

namespace {

using namespace internal;

constexpr std::size_t kMinSecretLength = 16;

/** @brief Reads the cluster's secret, given as text or as a file. */
void
ReadSecret(FieldReader& aReader,
           const std::filesystem::path& aFolder,
           std::string& aSecret)
{
  std::filesystem::path file;
  const bool named = aReader.Read("secret_file", file);
  const bool given = aReader.Read("secret", aSecret);
  if (named == given) {
    aReader.Here().ReportField(
      "secret", "needs exactly one of 'secret' and 'secret_file'");
    return;
  }
  if (named) {
    std::ifstream stream{ aFolder / file };
    if (!stream) {
      aReader.Here().ReportField("secret_file", "the file can't be read");
      return;
    }
    aSecret.assign(std::istreambuf_iterator<char>{ stream }, {});
    aSecret.erase(aSecret.find_last_not_of("\r\n") + 1);
  }
  if (aSecret.size() < kMinSecretLength) {
    aReader.Here().ReportField(named ? "secret_file" : "secret",
                               "needs 16 or more characters");
  }
}

void
ReadPlace(FieldReader& aReader, Settings& aSettings)
{
  aReader.Read("cluster", aSettings.cluster, Presence::Required);
  aReader.Read("host", aSettings.host, Presence::Required);
  aReader.Read("region", aSettings.region, Presence::Required);
  aReader.Read("zone", aSettings.zone, Presence::Required);
  if (aReader.Has("listen", Presence::Required)) {
    ReadValue(aReader.Here().Field("listen"), aSettings.listen);
  }
}

void
ReadControl(FieldReader& aReader,
            const std::filesystem::path& aFolder,
            Settings& aSettings)
{
  std::filesystem::path dataFolder;
  if (aReader.Read("data_folder", dataFolder)) {
    aSettings.dataFolder = aFolder / dataFolder;
  }
  aReader.Read("voter", aSettings.voter);
  if (aSettings.voter && !aSettings.dataFolder) {
    aReader.Here().ReportField("voter", "a voter needs a data_folder");
  }
  if (aReader.Has("seeds", Presence::Required)) {
    ReadValue(aReader.Here().Field("seeds"), aSettings.seeds);
  }
  std::set<HostId> hosts;
  for (const auto& seed : aSettings.seeds) {
    if (!hosts.insert(seed.host).second) {
      aReader.Here().Field("seeds").Report("'" + seed.host.String() +
                                           "' stands twice");
    }
  }
}

void
ReadRest(FieldReader& aReader,
         const std::filesystem::path& aFolder,
         Settings& aSettings)
{
  const auto nested = [&](const std::string& aName, auto& aValue) {
    if (aReader.Has(aName, Presence::Optional)) {
      ReadValue(aReader.Here().Field(aName), aValue);
    }
  };
  nested("operator_keys", aSettings.operatorKeys);
  nested("limits", aSettings.limits);
  nested("log", aSettings.log);
  nested("trace", aSettings.trace);
  if (!aSettings.trace.file.empty()) {
    aSettings.trace.file = aFolder / aSettings.trace.file;
  }
  aReader.Read("shutdown_delay", aSettings.shutdownDelay);
  aReader.Read("shutdown_timeout", aSettings.shutdownTimeout);
}

} // namespace

tl::expected<Settings, Problems>
LoadSettings(const std::filesystem::path& aFile)
{
  const auto root = ReadYamlFile(aFile);
  if (!root) {
    return tl::unexpected(root.error());
  }
  Problems problems;
  Settings settings;
  const auto folder = std::filesystem::absolute(aFile).parent_path();
  FieldReader reader{ Cursor{ *root, "", problems } };
  ReadPlace(reader, settings);
  ReadControl(reader, folder, settings);
  ReadSecret(reader, folder, settings.secret);
  ReadRest(reader, folder, settings);
  reader.Finish();
  if (!problems.empty()) {
    return tl::unexpected(std::move(problems));
  }
  return settings;
}

} // namespace balsampoint::config
