#pragma once

#include "balsampoint/cli/exit_code.hpp"
#include "balsampoint/cli/options.hpp"
#include "balsampoint/http/client_pool.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace balsampoint::cli {

/** @brief A JSON document whose fields keep their order. */
using Json = nlohmann::ordered_json;

/** @brief Why a call to a host brought no result. */
struct ClientError
{
  ExitCode code{ ExitCode::Failed };
  /** Sentence for the operator. */
  std::string message;
};

/** @brief Calls the operators' listener of the first host that answers. */
class Client
{
public:
  /**
   * @brief Keeps where and as whom to call.
   * @param aOptions Hosts and key; outlives the client.
   */
  explicit Client(const Options& aOptions)
    : mOptions{ aOptions }
  {
  }

  /**
   * @brief Reads from a host.
   * @param aPath Path of the query.
   * @return The answer's document, or why there is none.
   */
  [[nodiscard]] tl::expected<Json, ClientError> Get(std::string_view aPath);

  /**
   * @brief Sends a command that a host carries out once, however often it is
   * sent; a lost answer is followed by the same command to the next host.
   * @param aRequest The request, without the operator's key.
   * @param aWork Time that the host may spend on it beyond a usual call's.
   * @return The answer's document, or why there is none.
   */
  [[nodiscard]] tl::expected<Json, ClientError> Send(
    http::ClientRequest aRequest,
    Duration aWork = {});

private:
  [[nodiscard]] static tl::expected<Json, ClientError> Read(
    const http::ClientResponse& aResponse);

  const Options& mOptions;
  http::ClientPool mPool;
};

} // namespace balsampoint::cli
