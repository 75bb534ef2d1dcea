#pragma once

/**
 * @brief Changes of configuration: one winner per number, one answer per id.
 *
 * The table is replicated: it depends only on the commands applied to it. The
 * control module brings operators' changes to the leader of the control group
 * and their answers back.
 */
namespace balsampoint::change {

struct Answer;
struct Change;
struct Module;
struct State;
struct Table;

} // namespace balsampoint::change
