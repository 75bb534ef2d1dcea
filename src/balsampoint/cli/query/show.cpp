#include "balsampoint/cli/query/show.hpp"

#include "balsampoint/cli/internal/printer.hpp"

namespace balsampoint::cli {

ExitCode
Show(std::string_view aPath, const Options& aOptions)
{
  Client client{ aOptions };
  return PrintResult(client.Get(aPath), aOptions);
}

} // namespace balsampoint::cli
