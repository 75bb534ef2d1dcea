#pragma once

#include "balsampoint/http/listener.hpp"
#include "balsampoint/http/operations.hpp"

namespace balsampoint::http {

/**
 * @brief Takes a change of configuration and answers with its outcome.
 * @param aOperations Way to the control thread.
 * @param aOperator Who asks.
 * @param aRequest `PUT` with the document as body.
 * @param aResponse The answer; refusals before submission are thrown.
 */
void
SubmitChange(const Operations& aOperations,
             const OperatorId& aOperator,
             ServerRequest& aRequest,
             ServerResponse& aResponse);

} // namespace balsampoint::http
