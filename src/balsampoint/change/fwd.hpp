#pragma once

/**
 * @brief Changes of the configuration, decided by a replicated table.
 *
 * At most one change is accepted for each number, and a change that is
 * submitted again under its id gets the first answer. The table is
 * deterministic: it depends only on the committed changes. The module forwards
 * operators' changes to the leader of the control group and returns the
 * answers.
 */
namespace balsampoint::change {

struct Answer;
struct Change;
struct Module;
struct State;
struct Table;

} // namespace balsampoint::change
