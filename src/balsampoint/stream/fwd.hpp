#pragma once

/** @brief Generates one answer of a pipeline by calls to its stages. */
namespace balsampoint::stream {

struct CallId;
struct ImportCall;
struct Position;
struct Progress;
struct ReplayCall;
struct ReplayReply;
struct Settings;
struct StageState;
struct StepCall;
struct StepReply;
struct StreamRequest;

class HashTokenizer;
class StepTimes;

} // namespace balsampoint::stream
