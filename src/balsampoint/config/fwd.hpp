#pragma once

/**
 * @brief Settings of one host, and the configuration that operators change
 * while the system runs.
 */
namespace balsampoint::config {

class KeyIndex;

struct Address;
struct Document;
struct KeyHash;
struct Limits;
struct Link;
struct OperatorEntry;
struct Pipeline;
struct Problem;
struct Seed;
struct Service;
struct ServiceRule;
struct Settings;
struct Workspace;
struct Zone;

} // namespace balsampoint::config
