#pragma once

/**
 * @brief Decides which connections may hold more bytes, and which ones are
 * refused or closed when all of them together hold too many.
 */
namespace balsampoint::memory {

struct Action;
struct Holder;
struct Settings;
struct State;

} // namespace balsampoint::memory
