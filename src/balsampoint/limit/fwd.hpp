#pragma once

/**
 * @brief Admission control of one host: weighted fair queueing by workspace,
 * early refusal, and limits divided among the hosts.
 */
namespace balsampoint::limit {

struct Arrived;
struct Module;
struct Settings;
struct State;
struct WorkspaceState;

} // namespace balsampoint::limit
