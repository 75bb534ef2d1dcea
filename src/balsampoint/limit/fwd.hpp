#pragma once

/**
 * @brief Admission control of one host: weighted fair queueing by workspace,
 * early refusal, and limits divided among the hosts. For services with
 * requests of several urgencies: levels of KV by urgency and a queue for room.
 */
namespace balsampoint::limit {

struct Arrived;
struct Module;
struct ServiceShortage;
struct Settings;
struct Shortage;
struct ShortageSettings;
struct State;
struct WaitRequest;
struct WorkspaceState;

} // namespace balsampoint::limit
