#include "balsampoint/cli/internal/change.hpp"

#include "balsampoint/config/query/document_text.hpp"
#include "balsampoint/config/query/load_folder.hpp"
#include "balsampoint/config/query/verify_key.hpp"

#include <iostream>

namespace balsampoint::cli {

namespace {

constexpr std::size_t kChangeIdLength = 32;

} // namespace

tl::expected<Change, config::Problems>
MakeChange(const std::filesystem::path& aFolder,
           std::uint64_t aNumber,
           const std::string& aId)
{
  const auto document = config::LoadFolder(aFolder);
  if (!document) {
    return tl::unexpected(document.error());
  }
  Change change{ .number = aNumber,
                 .id = aId,
                 .document = config::Serialize(*document) };
  if (change.id.empty()) {
    change.id = config::Sha256Hex(std::to_string(aNumber) + change.document)
                  .substr(0, kChangeIdLength);
  }
  return change;
}

tl::expected<Json, ClientError>
PutChange(Client& aClient, const Change& aChange)
{
  const auto wait =
    std::chrono::duration_cast<std::chrono::milliseconds>(aChange.wait);
  return aClient.Send(
    { .method = "PUT",
      .path = "/v1/configuration",
      .headers = { { "X-Change-Number", std::to_string(aChange.number) },
                   { "X-Change-Id", aChange.id },
                   { "X-Wait-Ms", std::to_string(wait.count()) } },
      .body = aChange.document },
    aChange.wait);
}

ExitCode
PrintProblems(const config::Problems& aProblems)
{
  for (const auto& problem : aProblems) {
    std::cerr << config::ToString(problem) << '\n';
  }
  std::cerr << aProblems.size() << " problem(s); nothing was changed\n";
  return ExitCode::Invalid;
}

} // namespace balsampoint::cli
