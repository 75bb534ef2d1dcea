#pragma once

#include "load/experiment.hpp"

#include <functional>
#include <string>

namespace balsampoint::load {

/** @brief How one answer ended. */
enum class AnswerEnd : std::uint8_t
{
  Complete,
  Broken,
  Refused,
};

/** @brief Takes the text of each token as it arrives. */
using TokenReader = std::function<void(const std::string&)>;

/**
 * @brief Asks a daemon for one streamed answer.
 * @param aExperiment What to ask for.
 * @param aNumber Number of the request; chooses the target.
 * @param aPrompt The prompt.
 * @param aRead Takes the tokens.
 * @return How the answer ended.
 */
[[nodiscard]] AnswerEnd
StreamThroughSystem(const Experiment& aExperiment,
                    std::uint32_t aNumber,
                    const std::string& aPrompt,
                    const TokenReader& aRead);

/**
 * @brief Generates one answer by calling the stages itself.
 * @param aExperiment What to generate; names the stages.
 * @param aNumber Number of the request.
 * @param aPrompt The prompt.
 * @param aRead Takes the tokens.
 * @return How the answer ended.
 */
[[nodiscard]] AnswerEnd
StreamDirectly(const Experiment& aExperiment,
               std::uint32_t aNumber,
               const std::string& aPrompt,
               const TokenReader& aRead);

} // namespace balsampoint::load
