#pragma once

/** @brief Orders to model engines, given by one leaseholder at a time. */
namespace balsampoint::orders {

struct Module;
struct Order;
struct Settings;
struct State;
struct Table;

} // namespace balsampoint::orders
