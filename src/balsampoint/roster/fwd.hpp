#pragma once

/**
 * @brief Membership of backend servers: servers send heartbeats to control
 * hosts, which push changes to every other host.
 */
namespace balsampoint::roster {

struct Claim;
struct Module;
struct Settings;
struct State;
struct View;

} // namespace balsampoint::roster
