#include "balsampoint/config/query/load_folder.hpp"

#include "balsampoint/config/internal/document_reader.hpp"

#include <algorithm>
#include <system_error>
#include <utility>

namespace balsampoint::config {

std::vector<std::filesystem::path>
ConfigurationFiles(const std::filesystem::path& aFolder)
{
  std::vector<std::filesystem::path> files;
  std::error_code error;
  for (const auto& entry :
       std::filesystem::directory_iterator{ aFolder, error }) {
    const auto name = entry.path().filename().string();
    if (name.starts_with('.') || entry.path().extension() != ".yaml" ||
        !entry.is_regular_file(error)) {
      continue;
    }
    files.push_back(entry.path());
  }
  std::ranges::sort(files);
  return files;
}

tl::expected<Document, Problems>
LoadFolder(const std::filesystem::path& aFolder)
{
  const auto files = ConfigurationFiles(aFolder);
  if (files.empty()) {
    return tl::unexpected(
      Problems{ { aFolder.string(), 0, "", "the folder has no .yaml files" } });
  }
  Problems problems;
  internal::Node merged{ aFolder.string(), 0, internal::NodeKind::Map };
  for (const auto& file : files) {
    auto node = internal::ReadYamlFile(file);
    if (!node) {
      problems.insert(problems.end(), node.error().begin(), node.error().end());
      continue;
    }
    if (node->kind == internal::NodeKind::Null) {
      continue;
    }
    if (node->kind != internal::NodeKind::Map) {
      problems.push_back({ file.string(), node->line, "", "needs a map" });
      continue;
    }
    internal::Merge(merged, std::move(*node));
  }
  if (!problems.empty()) {
    return tl::unexpected(std::move(problems));
  }
  return internal::ReadDocument(merged);
}

} // namespace balsampoint::config
