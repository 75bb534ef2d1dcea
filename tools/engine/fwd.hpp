#pragma once

/** @brief Stand-in backend servers: model engines and plain services. */
namespace balsampoint::engine {

class BatchSchedule;
class ModelEngine;
class PlainService;

struct Faults;
struct TimeModel;

} // namespace balsampoint::engine
