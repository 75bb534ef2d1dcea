#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/http/listener.hpp"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace balsampoint::http {

/**
 * @brief Encodes an error as a problem document.
 * @param aError The error.
 * @return JSON text with `type`, `title`, `status`, `detail`, `kind` and
 * `executed`.
 */
[[nodiscard]] std::string
EncodeProblem(const Error& aError);

/**
 * @brief Answers a request with an error, with `Retry-After` where it helps.
 * @param aResponse The answer; nothing of it was sent yet.
 * @param aError The error.
 */
void
SendProblem(ServerResponse& aResponse, const Error& aError);

/**
 * @brief Answers a request with an error although its body was not read.
 *
 * The rest of the body is taken in up to a limit and dropped before the
 * connection closes: a close with unread data would reset the connection and
 * the caller would lose the answer.
 * @param aRequest The request.
 * @param aResponse The answer; nothing of it was sent yet.
 * @param aError The error.
 */
void
RefuseUnread(ServerRequest& aRequest,
             ServerResponse& aResponse,
             const Error& aError);

/**
 * @brief Answers a request with a whole JSON document.
 * @param aResponse The answer; nothing of it was sent yet.
 * @param aBody The document.
 */
void
SendJson(ServerResponse& aResponse, std::string_view aBody);

/**
 * @brief Reads the whole body of a request.
 * @param aRequest The request.
 * @param aLimit Most bytes it may have.
 * @return The body, or `PayloadTooLarge`, or `RequestTimeout`.
 */
[[nodiscard]] tl::expected<std::string, Error>
ReadBody(ServerRequest& aRequest, std::uint64_t aLimit);

} // namespace balsampoint::http
