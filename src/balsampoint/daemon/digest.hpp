#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace balsampoint::daemon {

/**
 * @brief The SHA-256 digest of texts one after the other, in hexadecimal.
 * @param aParts The texts.
 */
[[nodiscard]] std::string
Sha256(std::initializer_list<std::string_view> aParts);

} // namespace balsampoint::daemon
