#pragma once

/** @brief Routes by host and path, the services behind them, and their keys. */
namespace balsampoint::routing {

struct Document;
struct EngineProfile;
struct Route;
struct Service;
struct Workspace;
class Table;

} // namespace balsampoint::routing
