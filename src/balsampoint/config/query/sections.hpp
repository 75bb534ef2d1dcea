#pragma once

#include <map>
#include <string>
#include <string_view>

namespace balsampoint::config {

/** @brief Parts of a configuration's text that change apart, by name. */
using TextSections = std::map<std::string, std::string>;

/**
 * @brief Splits a configuration so that small changes have small texts.
 * @param aText Text as `Serialize` writes it.
 * @return One part for each entry of each map, and one for everything else.
 */
[[nodiscard]] TextSections
SplitSections(std::string_view aText);

/**
 * @brief Puts the parts together again.
 * @param aSections Parts as `SplitSections` gives them.
 * @return Text that `Parse` reads.
 */
[[nodiscard]] std::string
JoinSections(const TextSections& aSections);

} // namespace balsampoint::config
