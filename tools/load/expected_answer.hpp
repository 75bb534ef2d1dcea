#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace balsampoint::load {

/**
 * @brief The answer that a pipeline of stand-ins must give.
 * @param aPrompt The prompt.
 * @param aTokens Number of tokens.
 * @param aLayers Layers of the model.
 * @return The text of all tokens.
 */
[[nodiscard]] std::string
ExpectedAnswer(std::string_view aPrompt,
               std::uint32_t aTokens,
               std::uint32_t aLayers);

} // namespace balsampoint::load
