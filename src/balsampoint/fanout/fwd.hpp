#pragma once

/**
 * @brief Brings accepted configurations to all hosts and tells who has them.
 *
 * The leader of the control group feeds one relay or a few in each zone, and a
 * relay feeds the hosts of its zone. Reports of the number in force go the
 * other way, gathered by the relays.
 */
namespace balsampoint::fanout {

struct Content;
struct HostReport;
struct InForce;
struct Module;
struct State;

} // namespace balsampoint::fanout
