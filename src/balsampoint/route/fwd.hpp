#pragma once

/** @brief Chooses the servers that run the layers of a request. */
namespace balsampoint::route {

struct ExcludedServer;
struct Graph;
struct Link;
struct Node;
struct Stage;

} // namespace balsampoint::route
