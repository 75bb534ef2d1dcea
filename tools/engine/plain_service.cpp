#include "engine/plain_service.hpp"

#include <nlohmann/json.hpp>

namespace balsampoint::engine {

std::string
PlainService::Run(std::string_view aMethod,
                  std::string_view aPath,
                  std::string_view aBody)
{
  std::string call{ aMethod };
  call += ' ';
  call += aPath;
  call += ' ';
  call += aBody;
  const auto times = ++mExecutions[call];
  ++mTotal;
  const nlohmann::json answer{ { "call", call },
                               { "execution", times },
                               { "total", mTotal } };
  return answer.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string
PlainService::Executions() const
{
  return nlohmann::json(mExecutions)
    .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace balsampoint::engine
