#pragma once

/** @brief Which servers run which layers of a request. */
namespace balsampoint::route {

struct ExcludedServer;
struct Graph;
struct Link;
struct Node;
struct Stage;

} // namespace balsampoint::route
