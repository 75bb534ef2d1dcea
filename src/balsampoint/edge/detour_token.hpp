#pragma once

#include <string>
#include <string_view>

namespace balsampoint::edge {

/**
 * @brief Makes the token that lets a host of the cluster open a connection to
 * a server through another one.
 * @param aSecret Secret of the cluster.
 * @param aServer IP address and port of the server.
 * @return An HMAC-SHA256 of the address, in hexadecimal.
 */
[[nodiscard]] std::string
DetourToken(std::string_view aSecret, std::string_view aServer);

/**
 * @brief Compares two tokens in a time that doesn't depend on where they
 * differ.
 * @param aOne One token.
 * @param aOther The other token.
 */
[[nodiscard]] bool
IsSameToken(std::string_view aOne, std::string_view aOther);

} // namespace balsampoint::edge
