#pragma once

#include "balsampoint/config/query/key_index.hpp"
#include "balsampoint/http/listener.hpp"
#include "balsampoint/http/operations.hpp"
#include "balsampoint/traffic/world.hpp"

namespace balsampoint::http {

/** @brief Answers operators: changes of configuration, status, members. */
class OperatorHandler
{
public:
  /**
   * @brief Keeps what the commands and queries work with.
   * @param aWorld What the host knows; outlives the handler.
   * @param aOperations Ways to the control thread.
   * @param aSettingsKeys Operators' keys of the host's settings, which hold
   * before the first configuration.
   */
  OperatorHandler(traffic::World& aWorld,
                  Operations aOperations,
                  config::KeyIndex aSettingsKeys);

  /**
   * @brief Answers one request.
   * @param aRequest The request.
   * @param aResponse The answer.
   */
  void Handle(ServerRequest& aRequest, ServerResponse& aResponse);

private:
  void Dispatch(ServerRequest& aRequest, ServerResponse& aResponse);
  void Query(const ServerRequest& aRequest, ServerResponse& aResponse) const;
  void Command(const OperatorId& aOperator,
               ServerRequest& aRequest,
               ServerResponse& aResponse);
  void ChangeMembers(ServerRequest& aRequest, ServerResponse& aResponse);
  [[nodiscard]] OperatorId Identify(const ServerRequest& aRequest) const;

  traffic::World& mWorld;
  Operations mOperations;
  config::KeyIndex mSettingsKeys;
};

} // namespace balsampoint::http
