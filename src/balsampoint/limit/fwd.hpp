#pragma once

/**
 * @brief Admission of requests on one host: fair queues over workspaces, early
 * refusal, and limits that hosts share.
 */
namespace balsampoint::limit {

struct Arrived;
struct Module;
struct Settings;
struct State;
struct WorkspaceState;

} // namespace balsampoint::limit
