#pragma once

/**
 * @brief Which backend servers there are: control hosts hear them and push
 * what changes to every other host.
 */
namespace balsampoint::roster {

struct Claim;
struct Module;
struct Settings;
struct State;
struct View;

} // namespace balsampoint::roster
