#pragma once

/** @brief The configuration that operators change while the system runs. */
namespace balsampoint::config {

struct Document;
struct KeyHash;
struct Limits;
struct OperatorEntry;
struct Pipeline;
struct Service;
struct ServiceRule;
struct Workspace;

} // namespace balsampoint::config
