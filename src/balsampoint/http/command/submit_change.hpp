#pragma once

#include "balsampoint/http/listener.hpp"
#include "balsampoint/http/operations.hpp"

namespace balsampoint::http {

/**
 * @brief Takes a change of configuration and answers with its outcome.
 * @param aOperations Way to the control thread.
 * @param aOperator Who asks.
 * @param aRequest The request, for its headers.
 * @param aDocument The configuration as `config::Serialize` writes it.
 * @param aResponse The answer; refusals before submission are thrown.
 */
void
SubmitChange(const Operations& aOperations,
             const OperatorId& aOperator,
             const ServerRequest& aRequest,
             std::string aDocument,
             ServerResponse& aResponse);

} // namespace balsampoint::http
