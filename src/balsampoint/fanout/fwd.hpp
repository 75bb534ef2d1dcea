#pragma once

/**
 * @brief Distributes accepted configurations to all hosts and tracks which
 * hosts have them in force.
 *
 * The leader of the control group is the root of the distribution tree. It
 * sends updates to one or a few relays in each zone, and a relay sends them to
 * the hosts of its zone. Relays aggregate the hosts' reports of the number in
 * force and send them to the leader.
 */
namespace balsampoint::fanout {

struct Content;
struct HostReport;
struct InForce;
struct Module;
struct State;

} // namespace balsampoint::fanout
