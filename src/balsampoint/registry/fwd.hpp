#pragma once

/**
 * @brief Registry of the backend servers that announced themselves, with
 * leases and replication between hosts.
 */
namespace balsampoint::registry {

struct Announcement;
struct Holding;
struct Load;
struct Module;
struct Server;
struct State;
struct View;

} // namespace balsampoint::registry
