#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace balsampoint::engine {

/** @brief A plain service that counts how often each call ran. */
class PlainService
{
public:
  /**
   * @brief Runs a call.
   * @param aMethod HTTP method.
   * @param aPath Path below the service.
   * @param aBody Body of the call.
   * @return Body of the answer: JSON with the call and its execution number.
   */
  [[nodiscard]] std::string Run(std::string_view aMethod,
                                std::string_view aPath,
                                std::string_view aBody);

  /** @brief How often each call ran, as JSON from call to count. */
  [[nodiscard]] std::string Executions() const;

private:
  std::map<std::string, std::uint64_t> mExecutions;
  std::uint64_t mTotal{};
};

} // namespace balsampoint::engine
