#pragma once

/** @brief Load on a daemon, with each answer checked by the arithmetic. */
namespace balsampoint::load {

class Histogram;

struct Experiment;
struct Result;

} // namespace balsampoint::load
