#include "balsampoint/config/internal/document_reader.hpp"

#include "balsampoint/config/internal/document_values.hpp"
#include "balsampoint/config/internal/key_reader.hpp"

namespace balsampoint::config::internal {

namespace {

/** @brief Reads a document and checks what refers to what. */
class DocumentReader
{
public:
  explicit DocumentReader(const Node& aRoot)
    : mReader{ Cursor{ aRoot, "", mProblems } }
  {
  }

  tl::expected<Document, Problems> Read()
  {
    ReadEach("zones", mDocument.zones);
    ReadLinks();
    ReadEach("pipelines", mDocument.pipelines);
    ReadEach("services", mDocument.services);
    ReadWorkspaces();
    ReadOperators();
    mReader.Finish();
    if (!mProblems.empty()) {
      return tl::unexpected(std::move(mProblems));
    }
    return std::move(mDocument);
  }

private:
  template<typename Id, typename Value>
  void ReadEach(const std::string& aField, std::map<Id, Value>& aInto)
  {
    mReader.Each(aField, [&](const std::string& aName, const Cursor& aCursor) {
      auto& value = aInto[Id{ aName }];
      value.id = Id{ aName };
      ReadValue(aCursor, value);
    });
  }

  void ReadLinks()
  {
    if (!mReader.Read("links", mDocument.links)) {
      return;
    }
    const auto list = mReader.Here().Field("links");
    for (std::size_t index = 0; index < mDocument.links.size(); ++index) {
      const auto item = list.Item(index);
      const auto& link = mDocument.links[index];
      CheckKnown(item, "zone", mDocument.zones, link.from);
      CheckKnown(item, "zone", mDocument.zones, link.to);
    }
  }

  void ReadWorkspaces()
  {
    mReader.Each("workspaces",
                 [&](const std::string& aName, const Cursor& aCursor) {
                   Workspace workspace{ .id = WorkspaceId{ aName } };
                   ReadWorkspace(aCursor, workspace);
                   mDocument.workspaces.emplace(workspace.id, workspace);
                 });
  }

  void ReadWorkspace(const Cursor& aCursor, Workspace& aWorkspace)
  {
    FieldReader reader{ aCursor };
    ReadKeys(reader, aWorkspace.keys);
    reader.Read("weight", aWorkspace.weight);
    RequirePositive(reader, "weight", aWorkspace.weight);
    reader.Read("priority", aWorkspace.priority);
    if (reader.Has("limits", Presence::Optional)) {
      ReadValue(aCursor.Field("limits"), aWorkspace.limits);
    }
    ReadNames(reader, "pipelines", mDocument.pipelines, aWorkspace.pipelines);
    ReadNames(reader, "services", mDocument.services, aWorkspace.services);
    reader.Finish();
  }

  void ReadOperators()
  {
    mReader.Each("operators",
                 [&](const std::string& aName, const Cursor& aCursor) {
                   OperatorEntry entry{ .id = OperatorId{ aName } };
                   FieldReader reader{ aCursor };
                   ReadKeys(reader, entry.keys);
                   reader.Finish();
                   mDocument.operators.emplace(entry.id, entry);
                 });
  }

  /** @brief Reads keys whose ids must be unique in the whole document. */
  void ReadKeys(FieldReader& aReader, std::vector<KeyHash>& aKeys)
  {
    if (!aReader.Read("keys", aKeys, Presence::Required)) {
      return;
    }
    const auto list = aReader.Here().Field("keys");
    for (std::size_t index = 0; index < aKeys.size(); ++index) {
      const auto [found, added] =
        mKeyOwners.emplace(aKeys[index].id, aReader.Here().Path());
      if (!added) {
        list.Item(index).ReportField(
          "id", "'" + found->first + "' is also a key of " + found->second);
      }
    }
  }

  /** @brief Reads a list of names, each of which the document must define. */
  template<typename Id, typename Value>
  void ReadNames(FieldReader& aReader,
                 const std::string& aField,
                 const std::map<Id, Value>& aKnown,
                 BasicAllowance<Id>& aInto)
  {
    std::vector<Id> names;
    if (!aReader.Read(aField, names)) {
      return;
    }
    auto& listed = aInto.listed.emplace();
    const auto list = aReader.Here().Field(aField);
    const auto word = std::string_view{ aField }.substr(0, aField.size() - 1);
    for (std::size_t index = 0; index < names.size(); ++index) {
      const auto item = list.Item(index);
      CheckKnown(item, word, aKnown, names[index]);
      if (!listed.insert(names[index]).second) {
        item.Report("'" + names[index].String() + "' stands twice");
      }
    }
  }

  template<typename Id, typename Value>
  static void CheckKnown(const Cursor& aCursor,
                         std::string_view aWord,
                         const std::map<Id, Value>& aKnown,
                         const Id& aId)
  {
    if (!aId.Empty() && !aKnown.contains(aId)) {
      aCursor.Report("no " + std::string{ aWord } + " is named '" +
                     aId.String() + "'");
    }
  }

  Problems mProblems;
  FieldReader mReader;
  Document mDocument;
  std::map<std::string, std::string> mKeyOwners;
};

} // namespace

tl::expected<Document, Problems>
ReadDocument(const Node& aRoot)
{
  return DocumentReader{ aRoot }.Read();
}

} // namespace balsampoint::config::internal
