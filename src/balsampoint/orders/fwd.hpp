#pragma once

/** @brief Orders to model engines, sent by one lease holder at a time. */
namespace balsampoint::orders {

struct Module;
struct Order;
struct Settings;
struct State;
struct Table;

} // namespace balsampoint::orders
