#pragma once

/** @brief Configuration of routes by host and path, of services and of
 * workspaces with their keys. */
namespace balsampoint::routing {

struct Document;
struct EngineProfile;
struct Route;
struct Service;
struct Workspace;
class Table;

} // namespace balsampoint::routing
