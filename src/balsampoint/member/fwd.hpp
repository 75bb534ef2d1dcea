#pragma once

/** @brief Which hosts of the cluster are there, found out by probing. */
namespace balsampoint::member {

struct Host;
struct Module;
struct Settings;
struct State;
struct View;

} // namespace balsampoint::member
