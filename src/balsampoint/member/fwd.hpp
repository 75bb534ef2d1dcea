#pragma once

/** @brief Cluster membership: detects failed hosts by probes and spreads
 * changes by gossip. */
namespace balsampoint::member {

struct Host;
struct Module;
struct Settings;
struct State;
struct View;

} // namespace balsampoint::member
