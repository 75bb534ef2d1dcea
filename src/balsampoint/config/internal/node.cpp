#include "balsampoint/config/internal/node.hpp"

#include <fstream>
#include <sstream>
#include <utility>
#include <yaml-cpp/yaml.h>

namespace balsampoint::config::internal {

namespace {

/** @brief Turns the library's nodes into ours; the depth is bounded by it. */
class Converter
{
public:
  explicit Converter(std::string_view aFile)
    : mFile{ aFile }
  {
  }

  // NOLINTNEXTLINE(misc-no-recursion)
  Node Convert(const YAML::Node& aFrom, std::string_view aPath)
  {
    Node node{ mFile, aFrom.Mark().line + 1 };
    if (aFrom.IsScalar()) {
      node.kind = NodeKind::Scalar;
      node.scalar = aFrom.Scalar();
    } else if (aFrom.IsSequence()) {
      node.kind = NodeKind::List;
      for (const auto& item : aFrom) {
        node.items.push_back(Convert(item, aPath));
      }
    } else if (aFrom.IsMap()) {
      node.kind = NodeKind::Map;
      ConvertFields(aFrom, aPath, node);
    }
    return node;
  }

  [[nodiscard]] Problems& Found() { return mProblems; }

private:
  // NOLINTNEXTLINE(misc-no-recursion)
  void ConvertFields(const YAML::Node& aFrom,
                     std::string_view aPath,
                     Node& aInto)
  {
    for (const auto& field : aFrom) {
      const int line = field.first.Mark().line + 1;
      if (!field.first.IsScalar()) {
        mProblems.push_back(
          { mFile, line, std::string{ aPath }, "a field's name must be text" });
        continue;
      }
      const auto& name = field.first.Scalar();
      const auto path =
        aPath.empty() ? name : std::string{ aPath } + "." + name;
      auto value = Convert(field.second, path);
      value.line = line;
      if (!aInto.fields.emplace(name, std::move(value)).second) {
        mProblems.push_back({ mFile, line, path, "the field stands twice" });
      }
    }
  }

  std::string mFile;
  Problems mProblems;
};

tl::unexpected<Problems>
OneProblem(std::string_view aFile, int aLine, std::string aMessage)
{
  return tl::unexpected(
    Problems{ { std::string{ aFile }, aLine, "", std::move(aMessage) } });
}

} // namespace

tl::expected<Node, Problems>
ParseYaml(std::string_view aText, std::string_view aFile)
{
  try {
    Converter converter{ aFile };
    auto root = converter.Convert(YAML::Load(std::string{ aText }), "");
    if (!converter.Found().empty()) {
      return tl::unexpected(std::move(converter.Found()));
    }
    return root;
  } catch (const YAML::Exception& error) {
    return OneProblem(aFile, error.mark.line + 1, error.msg);
  }
}

tl::expected<Node, Problems>
ReadYamlFile(const std::filesystem::path& aFile)
{
  std::ifstream stream{ aFile, std::ios::binary };
  std::ostringstream content;
  if (!stream || !(content << stream.rdbuf())) {
    const bool empty =
      stream && stream.peek() == std::ifstream::traits_type::eof();
    return OneProblem(aFile.string(),
                      0,
                      empty ? "the file is empty and may be half written"
                            : "the file can't be read");
  }
  const auto text = std::move(content).str();
  if (!text.ends_with('\n')) {
    return OneProblem(aFile.string(),
                      0,
                      "the last line has no end; the file may be half written");
  }
  return ParseYaml(text, aFile.string());
}

void
Merge(Node& aInto, Node aLater) // NOLINT(misc-no-recursion)
{
  if (aLater.kind != NodeKind::Map) {
    aInto = std::move(aLater);
    return;
  }
  if (aInto.kind != NodeKind::Map) {
    aInto = Node{ aLater.file, aLater.line, NodeKind::Map };
  }
  for (auto& [name, value] : aLater.fields) {
    if (value.kind == NodeKind::Null) {
      aInto.fields.erase(name);
      continue;
    }
    const auto [field, added] =
      aInto.fields.try_emplace(name, value.file, value.line);
    Merge(field->second, std::move(value));
  }
}

} // namespace balsampoint::config::internal
