#pragma once

/** @brief What all entry hosts together have in progress on each server. */
namespace balsampoint::usage {

struct Module;
struct State;

} // namespace balsampoint::usage
