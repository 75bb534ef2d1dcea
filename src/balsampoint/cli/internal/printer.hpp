#pragma once

#include "balsampoint/cli/internal/client.hpp"

#include <ostream>

namespace balsampoint::cli {

/**
 * @brief Prints a result: a list as a table of a row each, an object as a
 * row a field.
 * @param aStream Where to.
 * @param aResult The result.
 * @param aOutput As a table or as JSON.
 */
void
Print(std::ostream& aStream, const Json& aResult, Output aOutput);

/**
 * @brief Prints a result, or its error to the standard error stream.
 * @param aResult The result.
 * @param aOptions Names the form.
 * @return The exit code.
 */
[[nodiscard]] ExitCode
PrintResult(const tl::expected<Json, ClientError>& aResult,
            const Options& aOptions);

} // namespace balsampoint::cli
