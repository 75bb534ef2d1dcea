#include "balsampoint/cli/query/route_of.hpp"

#include "balsampoint/cli/internal/printer.hpp"

#include <Poco/URI.h>
#include <iostream>

namespace balsampoint::cli {

ExitCode
RouteOf(const std::string& aPath, const Options& aOptions)
{
  Poco::URI target{ "/v1/route-of" };
  target.addQueryParameter("path", aPath);
  for (const auto& [name, value] : aOptions.query) {
    if (!value.empty()) {
      target.addQueryParameter(name, value);
    }
  }
  Client client{ aOptions };
  auto result = client.Get(target.getPathAndQuery());
  if (!result || aOptions.output == Output::Json) {
    return PrintResult(result, aOptions);
  }
  // The servers have a table of their own.
  const auto candidates = result->value("candidates", Json::array());
  result->erase("candidates");
  const auto code = PrintResult(result, aOptions);
  std::cout << '\n';
  Print(std::cout, candidates, aOptions.output);
  return code;
}

} // namespace balsampoint::cli
