#include "balsampoint/cli/command/control.hpp"

#include "balsampoint/cli/internal/printer.hpp"

#include <iostream>
#include <optional>

namespace balsampoint::cli {

namespace {

constexpr std::size_t kOneHost = 2;
constexpr std::size_t kTwoHosts = 3;

std::optional<Json>
ControlBody(std::span<const std::string> aArguments)
{
  const auto& verb = aArguments[0];
  if (aArguments.size() == kOneHost && (verb == "add" || verb == "remove")) {
    return Json{ { "host", aArguments[1] } };
  }
  if (aArguments.size() == kTwoHosts && verb == "replace") {
    return Json{ { "host", aArguments[1] }, { "replacement", aArguments[2] } };
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
    std::cerr << "balsampoint: control add HOST | control remove HOST | "
                 "control replace OLD NEW\n";
    return ExitCode::Usage;
  }
  return Post("/v1/control/" + aArguments[0], *body, aOptions);
}

} // namespace balsampoint::cli
