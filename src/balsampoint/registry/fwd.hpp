#pragma once

/** @brief Backend servers that announced themselves, and their leases. */
namespace balsampoint::registry {

struct Announcement;
struct Holding;
struct Load;
struct Module;
struct Server;
struct State;
struct View;

} // namespace balsampoint::registry
