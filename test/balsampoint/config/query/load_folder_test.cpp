#include "balsampoint/config/query/load_folder.hpp"

#include "balsampoint/config/folder.hpp"
#include "balsampoint/config/query/document_text.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::config;

namespace {

constexpr std::string_view kPipeline =
  "pipelines:\n  verse: {model: m, version: '1', layers: 8}\n";

bool
Names(const Problems& aProblems,
      int aLine,
      std::string_view aField,
      std::string_view aWords)
{
  for (const auto& problem : aProblems) {
    if (problem.line == aLine && problem.field == aField &&
        problem.message.find(aWords) != std::string::npos) {
      return true;
    }
  }
  return false;
}

} // namespace

Test(load_folder, merges_maps_replaces_scalars_and_removes_by_null)
{
  const TemporaryFolder folder;
  folder.Write("10.yaml", kPipeline);
  folder.Write("20.yaml",
               "pipelines:\n  verse: {layers: 16, max_tokens: 5}\n"
               "  gone: {model: m, version: '1', layers: 8}\n");
  folder.Write("30.yaml", "pipelines: {gone: null}\n");
  const auto document = LoadFolder(folder.Path());
  cr_assert(document.has_value());
  cr_assert_eq(document->pipelines.size(), 1);
  const auto& verse = document->pipelines.at(PipelineId{ "verse" });
  cr_assert_eq(verse.layers, 16);
  cr_assert_eq(verse.maxTokens, 5);
  cr_assert(verse.model == ModelId{ "m" });
}

Test(load_folder, names_every_problem_with_file_line_and_field)
{
  const TemporaryFolder folder;
  folder.Write("10.yaml",
               "pipelines:\n"
               "  verse:\n"
               "    model: m\n"
               "    version: '1'\n"
               "    layres: 8\n"
               "workspaces:\n"
               "  galle:\n"
               "    keys: []\n"
               "    weight: 0\n"
               "    pipelines: [vers]\n");
  const auto document = LoadFolder(folder.Path());
  cr_assert_not(document.has_value());
  const auto& problems = document.error();
  cr_assert(Names(problems, 5, "pipelines.verse.layres", "'layers'"));
  cr_assert(Names(problems, 2, "pipelines.verse.layers", "missing"));
  cr_assert(Names(problems, 7, "workspaces.galle.weight", "over zero"));
  cr_assert(
    Names(problems, 10, "workspaces.galle.pipelines[0]", "named 'vers'"));
  cr_assert_eq(problems.size(), 4);
  cr_assert(problems[0].file.ends_with("10.yaml"));
}

Test(load_folder, takes_no_temporary_and_no_half_written_file)
{
  const TemporaryFolder folder;
  folder.Write("10.yaml", kPipeline);
  folder.Write(".20.yaml.swp", "broken: [");
  folder.Write("20.yaml~", "broken: [");
  folder.Write(".#30.yaml", "broken: [");
  cr_assert(LoadFolder(folder.Path()).has_value());
  folder.Write("40.yaml", "pipelines:\n  verse: {lay");
  cr_assert_not(LoadFolder(folder.Path()).has_value());
  folder.Write("40.yaml", "");
  cr_assert_not(LoadFolder(folder.Path()).has_value());
}

Test(load_folder, refuses_duplicate_fields_and_keys_of_two_holders)
{
  const TemporaryFolder folder;
  folder.Write("10.yaml", "zones:\n  a: {region: r}\n  a: {region: r}\n");
  cr_assert(Names(LoadFolder(folder.Path()).error(), 3, "zones.a", "twice"));
  const std::string key =
    "{id: k, salt: 00112233445566778899, sha256: " + std::string(64, 'a') + "}";
  folder.Write("10.yaml",
               "workspaces:\n  a: {keys: [" + key + "]}\n  b: {keys: [" + key +
                 "]}\n");
  cr_assert(Names(LoadFolder(folder.Path()).error(),
                  3,
                  "workspaces.b.keys[0].id",
                  "also a key of workspaces.a"));
}

Test(document_text, reads_back_what_it_wrote)
{
  for (const auto* const name : { "ruhunu", "sibiu" }) {
    const auto document = LoadFolder(
      std::filesystem::path{ BALSAMPOINT_EXAMPLES } / name / "configuration");
    cr_assert(
      document.has_value(), "%s", ToString(document.error().front()).c_str());
    const auto text = Serialize(*document);
    const auto again = Parse(text);
    cr_assert(again.has_value());
    cr_assert(*again == *document);
    cr_assert(Serialize(*again) == text);
  }
}
