#include "balsampoint/cli/command/control.hpp"

#include "balsampoint/cli/internal/printer.hpp"

#include <iostream>
#include <optional>

namespace balsampoint::cli {

namespace {

constexpr std::size_t kAddWords = 4;
constexpr std::size_t kRemoveWords = 2;
constexpr std::size_t kReplaceWords = 5;

std::optional<Json>
ControlBody(std::span<const std::string> aArguments)
{
  const auto count = aArguments.size();
  if (count == kAddWords && aArguments[0] == "add") {
    return Json{ { "host", aArguments[1] },
                 { "address", aArguments[2] },
                 { "zone", aArguments[3] } };
  }
  if (count == kRemoveWords && aArguments[0] == "remove") {
    return Json{ { "host", aArguments[1] } };
  }
  if (count == kReplaceWords && aArguments[0] == "replace") {
    return Json{ { "old", aArguments[1] },
                 { "host", aArguments[2] },
                 { "address", aArguments[3] },
                 { "zone", aArguments[4] } };
  }
  return std::nullopt;
}

ExitCode
Post(const std::string& aPath, const Json& aBody, const Options& aOptions)
{
  Client client{ aOptions };
  return PrintResult(
    client.Send({ .method = "POST", .path = aPath, .body = aBody.dump() }),
    aOptions);
}

} // namespace

ExitCode
Drain(const Options& aOptions)
{
  return Post("/v1/drain", Json::object(), aOptions);
}

ExitCode
ChangeControl(std::span<const std::string> aArguments, const Options& aOptions)
{
  const auto body = ControlBody(aArguments);
  if (!body) {
    std::cerr << "balsampoint: control add HOST ADDRESS ZONE | remove HOST | "
                 "replace OLD HOST ADDRESS ZONE\n";
    return ExitCode::Usage;
  }
  return Post("/v1/control/" + aArguments[0], *body, aOptions);
}

} // namespace balsampoint::cli
